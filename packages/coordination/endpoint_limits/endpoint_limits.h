#ifndef COORDINATION_ENDPOINT_LIMITS_ENDPOINT_LIMITS_H_
#define COORDINATION_ENDPOINT_LIMITS_ENDPOINT_LIMITS_H_

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "common/time.h"

// Keeps to the request rates that endpoints in need ask for.
namespace wagtailshore::endpoint_limits {

struct EndpointLimitOptions {
  // A permit may be used this much later than its time, so that a gateway with
  // few requests gets to use it. A window gets the permits of this time more.
  common::Duration carry = common::seconds(1);
  // Age of an unused permit at which it is overdue.
  common::Duration overdue_age = common::milliseconds(500);
  // Lower limits count as this many requests a second, as only an answer can
  // show that the limit has ended.
  double min_per_second = 0.25;
};

// What this gateway knows of the others, by which they divide limits.
struct Share {
  // Position of this gateway among all, in the order of their names.
  size_t index = 0;
  size_t gateways = 1;
  // Zero of a clock that all gateways have in common.
  common::Time epoch{};
};

// The limits that endpoints name in their answers: the requests a second that
// each takes from all gateways together.
//
// A limit makes one permit after the other, evenly in time on the common clock,
// and the gateways get them in turn. Gateways that agree on the limit and on
// who they are thus keep to it in sum, in any number and without a message;
// where one of them is unknown to others, only its own permits are too many.
class EndpointLimits {
 public:
  explicit EndpointLimits(EndpointLimitOptions options) : options_(options) {}

  // An answer to a request that was sent at `sent_at` names the limit, or none.
  // Returns whether the endpoint's limit changed.
  bool OnAnswer(const std::string& endpoint,
                std::optional<double> requests_per_second,
                common::Time sent_at,
                common::Time now);
  // The endpoint has restarted or is gone.
  void OnRestarted(const std::string& endpoint) { limits_.erase(endpoint); }

  // Returns the endpoints that must not get a request now. Without a share,
  // these are all that have a limit.
  std::set<std::string> Exhausted(const std::optional<Share>& share,
                                  common::Time now) const;
  // Returns the endpoints for which a permit lapses soon. One of them should
  // get the next request though others are preferred: only an answer can show
  // that its limit has changed or ended.
  std::set<std::string> Overdue(const std::optional<Share>& share,
                                common::Time now) const;
  // A request is sent to an endpoint that is not exhausted. Uses a permit if it
  // has a limit.
  void OnSent(const std::string& endpoint,
              const std::optional<Share>& share,
              common::Time now);
  // Returns the time until this gateway's next permit for the endpoint, 0 if it
  // has one now or the endpoint has no limit; nullopt without a share.
  std::optional<common::Duration> TimeToPermit(
      const std::string& endpoint,
      const std::optional<Share>& share,
      common::Time now) const;

  // Number of endpoints with a limit.
  size_t size() const { return limits_.size(); }

 private:
  // Before all numbers of permits.
  static constexpr int64_t kNoPermit = std::numeric_limits<int64_t>::min();

  struct Limit {
    double requests_per_second = 0;
    // When an answer last named it.
    common::Time named_at{};
    // Permits of earlier times do not count: they belong to another limit.
    common::Time valid_from{};
    int64_t last_used = kNoPermit;
    // Differs between endpoints, so that their permits do not coincide.
    uint32_t offset = 0;
  };

  double RateOf(const Limit& limit) const;
  // Number of the last permit whose time is not after `at`.
  int64_t NumberAt(const Limit& limit,
                   const Share& share,
                   common::Time at) const;
  // Number of this gateway's first permit that is not used and not too old.
  int64_t FirstPermit(const Limit& limit,
                      const Share& share,
                      common::Time now) const;

  EndpointLimitOptions options_;
  std::map<std::string, Limit> limits_;
};

}  // namespace wagtailshore::endpoint_limits

#endif  // COORDINATION_ENDPOINT_LIMITS_ENDPOINT_LIMITS_H_
