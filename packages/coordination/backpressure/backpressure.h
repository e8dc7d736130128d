#ifndef COORDINATION_BACKPRESSURE_BACKPRESSURE_H_
#define COORDINATION_BACKPRESSURE_BACKPRESSURE_H_

#include <map>
#include <optional>
#include <set>
#include <string>

#include "common/time.h"
#include "coordination/endpoint_limits/endpoint_limits.h"

// Keeps to what endpoints ask of a gateway in their answers.
namespace wagtailshore::backpressure {

// What an answer asks for.
struct Demands {
  // Requests a second from all gateways together.
  std::optional<double> request_limit;
  // Whether an answer without a limit ends the one before.
  bool may_end_limit = false;
  // No request from this gateway for this long.
  std::optional<common::Duration> rest;
};

struct BackpressureOptions {
  endpoint_limits::EndpointLimitOptions limits;
  // Longest extension of a rest, relative to it, so that the gateways do not
  // all return to an endpoint at the same moment.
  double max_rest_extension = 0.1;
};

// Which endpoints must not get a request of this gateway now, and until when:
// those that asked it for rest, and those that have a limit and no permit left.
// A rest belongs to a process; it outlasts other answers, shorter rests and the
// removal of the endpoint's entry, and ends with the process.
class Backpressure {
 public:
  using Share = endpoint_limits::Share;

  explicit Backpressure(BackpressureOptions options)
      : options_(options), limits_(options.limits) {}

  // `process` of `endpoint` has answered a request that was sent at `sent_at`.
  // `spread`, from 0 to 1, is a random number. Returns whether the endpoint's
  // limit changed.
  bool OnAnswer(const std::string& endpoint,
                const std::string& process,
                const Demands& demands,
                double spread,
                common::Time sent_at,
                common::Time now);
  // The endpoint is listed as `process`, which may be the one before.
  void OnListed(const std::string& endpoint, const std::string& process);
  // The endpoint is no longer listed.
  void OnUnlisted(const std::string& endpoint);
  // A request is sent to an endpoint that is not blocked.
  void OnSent(const std::string& endpoint,
              const std::optional<Share>& share,
              common::Time now);

  // Returns the endpoints that must not get a request now. Without a share, all
  // that have a limit are among them.
  std::set<std::string> Blocked(const std::optional<Share>& share,
                                common::Time now);
  // Returns the endpoints that should get the next request though others are
  // preferred.
  std::set<std::string> Overdue(const std::optional<Share>& share,
                                common::Time now) const;
  bool IsResting(const std::string& endpoint, common::Time now) const;
  // Returns the time until the endpoint may get a request, 0 if it may now;
  // nullopt if it has a limit and there is no share.
  std::optional<common::Duration> TimeUntilFree(
      const std::string& endpoint,
      const std::optional<Share>& share,
      common::Time now) const;

  size_t limited() const { return limits_.size(); }
  // Number of endpoints that rest, including those whose rest has just ended.
  size_t resting() const { return rests_.size(); }

 private:
  struct Rest {
    std::string process;
    common::Time until{};
  };

  BackpressureOptions options_;
  endpoint_limits::EndpointLimits limits_;
  // By endpoint.
  std::map<std::string, Rest> rests_;
};

}  // namespace wagtailshore::backpressure

#endif  // COORDINATION_BACKPRESSURE_BACKPRESSURE_H_
