#ifndef STATE_ROUTING_ROUTER_H_
#define STATE_ROUTING_ROUTER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "common/time.h"

// Chooses the endpoint of a model or service for an attempt.
namespace wagtailshore::routing {

// What an endpoint reported about itself; always somewhat out of date.
struct LoadReport {
  // Requests that wait at the endpoint.
  uint32_t queued = 0;
  // Requests that the endpoint works on.
  uint32_t running = 0;
};

// One endpoint as the router sees it.
struct Candidate {
  std::string failure_domain;
  // What it serves: the name of a model or of a service.
  std::string target;
  LoadReport report;
  // Attempts this entry sent since the report, which it cannot show yet.
  uint32_t sent_since_report = 0;
  bool leaving = false;
  // After a failure, the endpoint gets no new work before this time.
  common::Time ejected_until{};
  uint32_t failures_in_a_row = 0;
};

struct RouterOptions {
  std::string failure_domain;
  common::Duration ejection_base = common::milliseconds(500);
  common::Duration ejection_max = common::seconds(30);
};

// Keeps the candidates of one entry and picks among them. Owned by the control
// thread.
class Router {
 public:
  explicit Router(RouterOptions options);

  // Adds an endpoint, or changes what it serves.
  void Upsert(const std::string& endpoint,
              const std::string& failure_domain,
              const std::string& target);
  // Forgets the endpoints that are not in `known`.
  void KeepOnly(const std::set<std::string>& known);

  void OnReport(const std::string& endpoint, LoadReport report);
  // A leaving endpoint is never picked again.
  void OnLeaving(const std::string& endpoint);
  // The endpoint is a new process: it is not leaving any more.
  void OnRestarted(const std::string& endpoint);
  void OnSuccess(const std::string& endpoint);
  // Ejects the endpoint for a time that doubles with each failure in a row.
  void OnFailure(const std::string& endpoint, common::Time now);

  // The endpoint for an attempt at `target`, other than those in `avoid`, or
  // nothing when there is none. The attempt counts as sent.
  std::optional<std::string> Pick(const std::string& target,
                                  const std::set<std::string>& avoid,
                                  common::Time now);

  const std::map<std::string, Candidate>& candidates() const {
    return candidates_;
  }

 private:
  RouterOptions options_;
  std::map<std::string, Candidate> candidates_;
};

}  // namespace wagtailshore::routing

#endif  // STATE_ROUTING_ROUTER_H_
