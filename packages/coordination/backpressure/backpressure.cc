#include "coordination/backpressure/backpressure.h"

#include <algorithm>
#include <chrono>

namespace wagtailshore::backpressure {

bool Backpressure::OnAnswer(const std::string& endpoint,
                            const std::string& process,
                            const Demands& demands,
                            double spread,
                            common::Time sent_at,
                            common::Time now) {
  if (demands.rest.has_value()) {
    Rest& rest = rests_[endpoint];
    if (rest.process != process) {
      rest = {.process = process};
    }
    const double extension = options_.max_rest_extension * spread;
    rest.until =
        std::max(rest.until, now + *demands.rest +
                                 std::chrono::duration_cast<common::Duration>(
                                     *demands.rest * extension));
  }
  if (!demands.request_limit.has_value() && !demands.may_end_limit) {
    return false;
  }
  return limits_.OnAnswer(endpoint, demands.request_limit, sent_at, now);
}

void Backpressure::OnListed(const std::string& endpoint,
                            const std::string& process) {
  limits_.OnRestarted(endpoint);
  const auto rest = rests_.find(endpoint);
  if (rest != rests_.end() && rest->second.process != process) {
    rests_.erase(rest);
  }
}

void Backpressure::OnUnlisted(const std::string& endpoint) {
  limits_.OnRestarted(endpoint);
}

void Backpressure::OnSent(const std::string& endpoint,
                          const std::optional<Share>& share,
                          common::Time now) {
  limits_.OnSent(endpoint, share, now);
}

std::set<std::string> Backpressure::Blocked(const std::optional<Share>& share,
                                            common::Time now) {
  std::erase_if(rests_,
                [&](const auto& item) { return item.second.until <= now; });
  std::set<std::string> blocked = limits_.Exhausted(share, now);
  for (const auto& [endpoint, rest] : rests_) {
    blocked.insert(endpoint);
  }
  return blocked;
}

std::set<std::string> Backpressure::Overdue(const std::optional<Share>& share,
                                            common::Time now) const {
  std::set<std::string> overdue = limits_.Overdue(share, now);
  std::erase_if(overdue, [&](const std::string& endpoint) {
    return IsResting(endpoint, now);
  });
  return overdue;
}

bool Backpressure::IsResting(const std::string& endpoint,
                             common::Time now) const {
  const auto rest = rests_.find(endpoint);
  return rest != rests_.end() && rest->second.until > now;
}

std::optional<common::Duration> Backpressure::TimeUntilFree(
    const std::string& endpoint,
    const std::optional<Share>& share,
    common::Time now) const {
  const auto permit = limits_.TimeToPermit(endpoint, share, now);
  const auto rest = rests_.find(endpoint);
  if (!permit.has_value() || rest == rests_.end()) {
    return permit;
  }
  return std::max(*permit, rest->second.until - now);
}

}  // namespace wagtailshore::backpressure
