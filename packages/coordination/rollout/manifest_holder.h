#ifndef COORDINATION_ROLLOUT_MANIFEST_HOLDER_H_
#define COORDINATION_ROLLOUT_MANIFEST_HOLDER_H_

#include <memory>
#include <string>

#include "common/time.h"
#include "state/manifest/manifest.h"

// The manifest that is in force in this process.
namespace wagtailshore::rollout {

// A manifest and the exact text that was accepted. Shared and immutable:
// traffic threads keep the one that they started with when a newer one comes
// into force.
struct VersionedManifest {
  manifest::Manifest manifest;
  std::string body;
  // SHA-256 of `body`, hexadecimal.
  std::string digest;
};

enum class OfferOutcome {
  // The offered manifest is now in force.
  kInForce,
  // The same or a higher version was already in force.
  kOld,
};

// Holds the manifest in force. Accepts only higher versions, so that a process
// never reverts to an older manifest, in whatever order they arrive.
class ManifestHolder {
 public:
  // Puts `offered` in force if its version is higher than the current one.
  OfferOutcome Offer(std::shared_ptr<const VersionedManifest> offered,
                     common::Time now);

  // Null until the first manifest comes into force; nothing is served before.
  const std::shared_ptr<const VersionedManifest>& current() const {
    return current_;
  }
  // The version in force; 0 without a manifest.
  uint64_t version() const;
  // When the current version came into force here.
  common::Time since() const { return since_; }

 private:
  std::shared_ptr<const VersionedManifest> current_;
  common::Time since_{};
};

}  // namespace wagtailshore::rollout

#endif  // COORDINATION_ROLLOUT_MANIFEST_HOLDER_H_
