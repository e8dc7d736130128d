#include "soak/change_ledger.h"

namespace wagtailshore::soak {

void ChangeLedger::OnConfirmed(int version, common::Time now) {
  changes_.push_back({.version = version, .confirmed_at = now});
}

void ChangeLedger::OnDisturbed(int gateway, common::Time now) {
  disturbed_at_[gateway] = now;
}

std::optional<int> ChangeLedger::DueVersion(int gateway,
                                            common::Time now) const {
  const auto disturbed = disturbed_at_.find(gateway);
  if (disturbed != disturbed_at_.end() &&
      now < disturbed->second + options_.stability_window) {
    return std::nullopt;
  }
  std::optional<int> due;
  for (const Change& change : changes_) {
    if (now < change.confirmed_at + options_.apply_bound) {
      break;
    }
    due = change.version;
  }
  return due;
}

}  // namespace wagtailshore::soak
