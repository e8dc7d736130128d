#include "soak/demand_ledger.h"

#include "common/strings.h"

namespace wagtailshore::soak {
namespace {

// A gateway has this long to act on a demand, and on a caller's close.
constexpr common::Duration kTimeToAct = common::milliseconds(500);
// Requests that may reach an endpoint in a rest after that time.
constexpr int kMaxArrivalsInRest = 2;
// Requests that may reach endpoints after their callers left, over all.
constexpr int kMaxLateForDeparted = 3;

}  // namespace

void DemandLedger::OnRest(int gateway,
                          const std::string& endpoint,
                          common::Time now,
                          common::Duration rest) {
  rests_[{gateway, endpoint}] = {.from = now + kTimeToAct, .until = now + rest};
  ++rest_count_;
}

void DemandLedger::OnLeavingPassedOn(int gateway,
                                     const std::string& endpoint,
                                     common::Time now) {
  if (leavings_.try_emplace({gateway, endpoint}, now).second) {
    ++leaving_count_;
  }
}

void DemandLedger::OnCallerLeft(int gateway,
                                const std::string& request,
                                common::Time now) {
  departures_[{gateway, request}] = now;
  ++departure_count_;
}

void DemandLedger::OnArrival(const Arrival& arrival) {
  const Pair pair = {arrival.gateway, arrival.endpoint};
  const auto rest = rests_.find(pair);
  if (rest != rests_.end() && arrival.at > rest->second.from &&
      arrival.at < rest->second.until &&
      ++rest->second.arrivals > kMaxArrivalsInRest) {
    on_violation_(common::StrCat("request ", arrival.request, " is the ",
                                 rest->second.arrivals, "th of gateway ",
                                 arrival.gateway, " at ", arrival.endpoint,
                                 ", which asked it for rest"));
  }
  const auto leaving = leavings_.find(pair);
  if (leaving != leavings_.end() &&
      arrival.sent_at > leaving->second + drain_bound_) {
    on_violation_(common::StrCat(
        "request ", arrival.request, " of gateway ", arrival.gateway,
        " reached ", arrival.endpoint, ", which was leaving; sent ms after: ",
        common::ToMilliseconds(arrival.sent_at - leaving->second)));
  }
  const auto left = departures_.find({arrival.gateway, arrival.request});
  if (left != departures_.end() && arrival.at > left->second + kTimeToAct &&
      ++late_for_departed_ > kMaxLateForDeparted) {
    on_violation_(common::StrCat(
        "request ", arrival.request, " of gateway ", arrival.gateway,
        " reached ", arrival.endpoint, " after its caller left; ms after: ",
        common::ToMilliseconds(arrival.at - left->second)));
  }
}

void DemandLedger::OnGatewayDisturbed(int gateway) {
  const auto is_its = [gateway](const auto& item) {
    return item.first.first == gateway;
  };
  std::erase_if(rests_, is_its);
  std::erase_if(leavings_, is_its);
  std::erase_if(departures_, is_its);
}

void DemandLedger::OnEndpointDisturbed(const std::string& endpoint) {
  std::erase_if(
      rests_, [&](const auto& item) { return item.first.second == endpoint; });
}

}  // namespace wagtailshore::soak
