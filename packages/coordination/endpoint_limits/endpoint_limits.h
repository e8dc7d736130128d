#ifndef COORDINATION_ENDPOINT_LIMITS_ENDPOINT_LIMITS_H_
#define COORDINATION_ENDPOINT_LIMITS_ENDPOINT_LIMITS_H_

#include <map>
#include <optional>
#include <string>

#include "common/time.h"

// Keeps to the request rates that endpoints in need ask for.
namespace wagtailshore::endpoint_limits {

// The limits that endpoints name in their answers: the requests a second that
// each takes from all gateways together.
class EndpointLimits {
 public:
  // An answer to a request that was sent at `sent_at` names the limit, or none.
  // Returns whether the endpoint's limit changed.
  bool OnAnswer(const std::string& endpoint,
                std::optional<double> requests_per_second,
                common::Time sent_at,
                common::Time now);
  // The endpoint has restarted or is gone.
  void OnRestarted(const std::string& endpoint) { limits_.erase(endpoint); }

  // Number of endpoints with a limit.
  size_t size() const { return limits_.size(); }

 private:
  struct Limit {
    double requests_per_second = 0;
    // When an answer last named it.
    common::Time named_at{};
  };

  std::map<std::string, Limit> limits_;
};

}  // namespace wagtailshore::endpoint_limits

#endif  // COORDINATION_ENDPOINT_LIMITS_ENDPOINT_LIMITS_H_
