#include "coordination/freshness/freshness.h"

namespace wagtailshore::freshness {

void Freshness::OnConfirmed(common::Time asked_at) {
  if (!confirmed_at_.has_value() || asked_at > *confirmed_at_) {
    confirmed_at_ = asked_at;
  }
}

bool Freshness::MayTrustKeys(common::Time now) const {
  const auto age = Age(now);
  return age.has_value() &&
         *age < options_.revocation_bound - options_.safety_margin;
}

std::optional<common::Duration> Freshness::Age(common::Time now) const {
  if (!confirmed_at_.has_value()) {
    return std::nullopt;
  }
  return now - *confirmed_at_;
}

}  // namespace wagtailshore::freshness
