#include "coordination/rollout/manifest_holder.h"

#include <utility>

#include "common/invariant.h"

namespace wagtailshore::rollout {

OfferOutcome ManifestHolder::Offer(
    std::shared_ptr<const VersionedManifest> offered,
    common::Time now) {
  WS_INVARIANT(offered != nullptr);
  const uint64_t offered_version = offered->manifest.version;
  if (offered_version == version() && current_ != nullptr) {
    WS_INVARIANT(offered->digest == current_->digest)
        << "two manifests were accepted as version " << offered_version;
  }
  if (offered_version <= version()) {
    return OfferOutcome::kOld;
  }
  current_ = std::move(offered);
  since_ = now;
  return OfferOutcome::kInForce;
}

uint64_t ManifestHolder::version() const {
  return current_ == nullptr ? 0 : current_->manifest.version;
}

}  // namespace wagtailshore::rollout
