#include "coordination/limit_shares/share_holder.h"

#include <algorithm>
#include <utility>

namespace wagtailshore::limit_shares {
namespace {

constexpr double kSmoothing = 0.3;
// Demand below this is forgotten.
constexpr double kLeastDemand = 0.01;
constexpr size_t kMaxUnanswered = 32;

}  // namespace

void ShareHolder::OnArrival(const std::string& customer) {
  ++customers_[customer].arrivals;
}

ShareRequest ShareHolder::MakeRequest(common::Time now) {
  const double period =
      last_request_.has_value()
          ? std::max(
                0.001,
                std::chrono::duration<double>(now - *last_request_).count())
          : 1;
  last_request_ = now;
  ShareRequest request{.entry = entry_, .sequence = next_sequence_++};
  for (auto& [customer, state] : customers_) {
    const double rate = std::exchange(state.arrivals, 0) / period;
    state.demand += kSmoothing * (rate - state.demand);
    request.demand.push_back(
        {.customer = customer, .per_second = state.demand});
  }
  std::erase_if(customers_, [now](const auto& item) {
    return item.second.demand < kLeastDemand && item.second.lent_until <= now;
  });
  sent_.push_back({.sequence = request.sequence, .at = now});
  if (sent_.size() > kMaxUnanswered) {
    sent_.pop_front();
  }
  return request;
}

void ShareHolder::OnGrant(const ShareGrant& grant, common::Time) {
  while (!sent_.empty() && sent_.front().sequence < grant.sequence) {
    sent_.pop_front();
  }
  // An answer to a request that a later answer has overtaken, or none of ours.
  if (sent_.empty() || sent_.front().sequence != grant.sequence) {
    return;
  }
  // The issuer counts from when it received the request, which is later.
  const common::Time until = sent_.front().at + options_.lifetime;
  sent_.pop_front();
  for (const CustomerRate& rate : grant.lent) {
    State& state = customers_[rate.customer];
    state.lent = rate.per_second;
    state.lent_until = until;
  }
}

double ShareHolder::RateOf(const std::string& customer,
                           double domain_limit,
                           common::Time now) const {
  const double floor = FloorOf(domain_limit, options_);
  const auto found = customers_.find(customer);
  if (found == customers_.end() || found->second.lent_until <= now) {
    return floor;
  }
  return floor + found->second.lent;
}

}  // namespace wagtailshore::limit_shares
