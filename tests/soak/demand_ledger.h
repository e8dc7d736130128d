#ifndef SOAK_DEMAND_LEDGER_H_
#define SOAK_DEMAND_LEDGER_H_

#include <functional>
#include <map>
#include <string>
#include <utility>

#include "common/time.h"

namespace wagtailshore::soak {

// Checks that gateways keep to what endpoints ask of them, and send nothing for
// callers that have left. A gateway that is restarted or paused is excused from
// what came before, and an endpoint whose link is disturbed from its rests.
class DemandLedger {
 public:
  using OnViolation = std::function<void(const std::string&)>;

  // A request of `gateway` that reached `endpoint`.
  struct Arrival {
    int gateway = 0;
    std::string endpoint;
    std::string request;
    // When its caller sent it.
    common::Time sent_at{};
    common::Time at{};
  };

  DemandLedger(common::Duration drain_bound, OnViolation on_violation)
      : drain_bound_(drain_bound), on_violation_(std::move(on_violation)) {}

  // The endpoint asked the gateway for no request for a time.
  void OnRest(int gateway,
              const std::string& endpoint,
              common::Time now,
              common::Duration rest);
  // The gateway passed on an answer by which the endpoint leaves.
  void OnLeavingPassedOn(int gateway,
                         const std::string& endpoint,
                         common::Time now);
  // The request's caller closed its connection to the gateway.
  void OnCallerLeft(int gateway, const std::string& request, common::Time now);
  void OnArrival(const Arrival& arrival);

  void OnGatewayDisturbed(int gateway);
  void OnEndpointDisturbed(const std::string& endpoint);

  int rests() const { return rest_count_; }
  int leavings() const { return leaving_count_; }
  int departures() const { return departure_count_; }

 private:
  using Pair = std::pair<int, std::string>;
  struct Rest {
    common::Time from{};
    common::Time until{};
    int arrivals = 0;
  };

  common::Duration drain_bound_;
  OnViolation on_violation_;
  // By gateway and endpoint.
  std::map<Pair, Rest> rests_;
  std::map<Pair, common::Time> leavings_;
  // By gateway and request.
  std::map<Pair, common::Time> departures_;
  int late_for_departed_ = 0;
  int rest_count_ = 0;
  int leaving_count_ = 0;
  int departure_count_ = 0;
};

}  // namespace wagtailshore::soak

#endif  // SOAK_DEMAND_LEDGER_H_
