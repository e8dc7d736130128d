#include "coordination/freshness/freshness.h"

#include <algorithm>

namespace wagtailshore::freshness {
namespace {

// How long a bound is used. Keeps the clocks' drift far below the safety
// margin: 100 parts per million make 6 ms.
constexpr common::Duration kBoundLifetime = common::seconds(60);

}  // namespace

common::Time StoreClock::EarliestAnswerTime(
    common::Time asked_at,
    common::Time received_at,
    std::optional<common::Duration> store_time) {
  if (!store_time.has_value()) {
    return asked_at;
  }
  const common::Time offset = asked_at - *store_time;
  while (!bounds_.empty() &&
         bounds_.front().at < received_at - kBoundLifetime) {
    bounds_.pop_front();
  }
  if (!bounds_.empty() && bounds_.front().offset + *store_time > received_at) {
    // The store's clock jumped, as after the store was replaced.
    bounds_.clear();
  }
  while (!bounds_.empty() && bounds_.back().offset <= offset) {
    bounds_.pop_back();
  }
  bounds_.push_back({.at = received_at, .offset = offset});
  return std::max(asked_at, bounds_.front().offset + *store_time);
}

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
