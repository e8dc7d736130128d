#include "coordination/limit_shares/share_holder.h"

#include <algorithm>
#include <utility>

namespace wagtailshore::limit_shares {
namespace {

constexpr double kDemandSmoothing = 0.3;
// A customer with less demand and no share is removed.
constexpr double kMinDemandPerSecond = 0.01;
constexpr size_t kMaxPendingRequests = 32;

}  // namespace

void ShareHolder::OnArrival(const std::string& customer) {
  ++customers_[customer].arrivals;
}

ShareRequest ShareHolder::MakeRequest(common::Time now) {
  const double period =
      last_request_at_.has_value()
          ? std::max(
                0.001,
                std::chrono::duration<double>(now - *last_request_at_).count())
          : 1;
  last_request_at_ = now;
  ShareRequest request{.entry = entry_, .sequence = next_sequence_++};
  for (auto& [customer, state] : customers_) {
    const double rate = std::exchange(state.arrivals, 0) / period;
    state.demand += kDemandSmoothing * (rate - state.demand);
    request.demand.push_back(
        {.customer = customer, .per_second = state.demand});
  }
  std::erase_if(customers_, [now](const auto& item) {
    return item.second.demand < kMinDemandPerSecond &&
           item.second.lent_until <= now;
  });
  pending_requests_.push_back({.sequence = request.sequence, .at = now});
  if (pending_requests_.size() > kMaxPendingRequests) {
    pending_requests_.pop_front();
  }
  return request;
}

void ShareHolder::OnGrant(const ShareGrant& grant, common::Time) {
  while (!pending_requests_.empty() &&
         pending_requests_.front().sequence < grant.sequence) {
    pending_requests_.pop_front();
  }
  // Ignore a grant that arrives after a later one, or for an unknown request.
  if (pending_requests_.empty() ||
      pending_requests_.front().sequence != grant.sequence) {
    return;
  }
  // The issuer counts the lifetime from when it received the request, which is
  // later.
  const common::Time until = pending_requests_.front().at + options_.lifetime;
  pending_requests_.pop_front();
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
