#ifndef COORDINATION_ROLLOUT_MANIFEST_HOLDER_H_
#define COORDINATION_ROLLOUT_MANIFEST_HOLDER_H_

#include <memory>
#include <string>

#include "common/time.h"
#include "state/manifest/manifest.h"

// Holds the manifest that is in force in this process.
namespace wagtailshore::rollout {

// A manifest and the exact text it was accepted as. Shared and immutable:
// traffic threads keep the one they began with while a newer one comes in.
struct VersionedManifest {
  manifest::Manifest manifest;
  std::string body;
  // SHA-256 of `body`, hexadecimal.
  std::string digest;
};

enum class OfferOutcome {
  // The offered manifest is now in force.
  kInForce,
  // A version at least as high is in force already.
  kOld,
};

// Moves only to higher versions, so that a manifest never reverts in this
// process, whatever order news of it arrives in.
class ManifestHolder {
 public:
  OfferOutcome Offer(std::shared_ptr<const VersionedManifest> offered,
                     common::Time now);

  // Null until the first manifest is learned; nothing is served before that.
  const std::shared_ptr<const VersionedManifest>& current() const {
    return current_;
  }
  // 0 without a manifest.
  uint64_t version() const;
  // Since when the current version is in force here.
  common::Time since() const { return since_; }

 private:
  std::shared_ptr<const VersionedManifest> current_;
  common::Time since_{};
};

}  // namespace wagtailshore::rollout

#endif  // COORDINATION_ROLLOUT_MANIFEST_HOLDER_H_
