#include "state/routing/router.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "common/invariant.h"

namespace wagtailshore::routing {

Router::Router(RouterOptions options) : options_(std::move(options)) {}

void Router::Upsert(const std::string& endpoint,
                    const std::string& failure_domain,
                    const std::string& target) {
  Candidate& candidate = candidates_[endpoint];
  candidate.failure_domain = failure_domain;
  candidate.target = target;
}

void Router::KeepOnly(const std::set<std::string>& known) {
  std::erase_if(candidates_,
                [&](const auto& item) { return !known.contains(item.first); });
}

void Router::OnReport(const std::string& endpoint, LoadReport report) {
  const auto found = candidates_.find(endpoint);
  if (found == candidates_.end()) {
    return;
  }
  found->second.report = report;
  found->second.sent_since_report = 0;
}

void Router::OnLeaving(const std::string& endpoint) {
  const auto found = candidates_.find(endpoint);
  if (found != candidates_.end()) {
    found->second.leaving = true;
  }
}

void Router::OnRestarted(const std::string& endpoint) {
  const auto found = candidates_.find(endpoint);
  if (found == candidates_.end()) {
    return;
  }
  found->second.leaving = false;
  found->second.sent_since_report = 0;
}

void Router::OnSuccess(const std::string& endpoint) {
  const auto found = candidates_.find(endpoint);
  if (found == candidates_.end()) {
    return;
  }
  found->second.failures_in_a_row = 0;
  found->second.ejected_until = common::Time{};
}

void Router::OnFailure(const std::string& endpoint, common::Time now) {
  const auto found = candidates_.find(endpoint);
  if (found == candidates_.end()) {
    return;
  }
  Candidate& candidate = found->second;
  constexpr uint32_t kMaxDoublings = 16;
  const uint32_t doublings =
      std::min(candidate.failures_in_a_row, kMaxDoublings);
  const common::Duration ejection = std::min(
      options_.ejection_base * (1 << doublings), options_.ejection_max);
  candidate.ejected_until = now + ejection;
  ++candidate.failures_in_a_row;
}

std::optional<std::string> Router::Pick(const std::string& target,
                                        const std::set<std::string>& avoid,
                                        common::Time now) {
  // An ejected endpoint is still better than none, so ejection orders the
  // candidates instead of removing them.
  using Rank = std::tuple<bool, bool, uint32_t>;
  Candidate* best = nullptr;
  const std::string* best_name = nullptr;
  Rank best_rank;
  for (auto& [name, candidate] : candidates_) {
    if (candidate.target != target || candidate.leaving ||
        avoid.contains(name)) {
      continue;
    }
    const Rank rank{candidate.ejected_until > now,
                    candidate.failure_domain != options_.failure_domain,
                    candidate.report.queued + candidate.report.running +
                        candidate.sent_since_report};
    if (best == nullptr || rank < best_rank) {
      best = &candidate;
      best_name = &name;
      best_rank = rank;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  WS_INVARIANT(!best->leaving) << "a leaving endpoint gets no new work";
  ++best->sent_since_report;
  return *best_name;
}

}  // namespace wagtailshore::routing
