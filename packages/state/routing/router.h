#ifndef STATE_ROUTING_ROUTER_H_
#define STATE_ROUTING_ROUTER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/time.h"
#include "state/routing/own_load.h"
#include "state/routing/prefix_hints.h"

// Chooses the endpoint of a model or service for an attempt.
namespace wagtailshore::routing {

// What an endpoint reported about itself; always somewhat out of date.
struct LoadReport {
  // Requests that wait at the endpoint.
  uint32_t queued = 0;
  // Requests that the endpoint works on.
  uint32_t running = 0;
  // Requests that it can work on at once; 0 when unknown.
  uint32_t slots = 0;
  // How old the figures were on arrival.
  common::Duration age{};
};

// One endpoint as the router sees it.
struct Candidate {
  // Stands for the endpoint in hints; never used twice.
  uint32_t id = 0;
  std::string name;
  std::string failure_domain;
  // What it serves: the name of a model or of a service.
  std::string target;
  LoadReport report;
  // Load that the report shows beyond this entry's own attempts.
  uint32_t others = 0;
  OwnLoad own;
  // Requests that the endpoint works on at once; 0 until it is known.
  uint32_t slots = 0;
  // Smoothed times of this entry's attempts, in milliseconds; 0 until known.
  double first_token_ms = 0;
  double duration_ms = 0;
  // Smoothed share of answers that were errors.
  double error_share = 0;
  common::Time measured_at{};
  bool leaving = false;
  // All endpoints of its group wait for it in each step.
  bool slow = false;
  // After a failure, the endpoint gets no new work before this time.
  common::Time ejected_until{};
  uint32_t failures_in_a_row = 0;

  // Requests at the endpoint, as far as can be told.
  uint32_t load() const { return others + own.in_flight(); }
};

struct RouterOptions {
  std::string failure_domain;
  // Seed of the random choices.
  uint64_t seed = 1;
  // Candidates compared per pick, besides those that hold the prefix.
  uint32_t choices = 2;
  common::Duration ejection_base = common::milliseconds(500);
  common::Duration ejection_max = common::seconds(30);
  // Largest share of a target's endpoints that is ejected at once.
  double max_ejected_share = 0.5;
  // Wait that one more request on an endpoint with free slots adds.
  double wait_per_running_ms = 30;
  // Time that a cached token of the prompt saves.
  double saved_per_cached_token_ms = 0.2;
  // Work spills to other failure domains while the own one's smoothed
  // predicted wait went above the first and not yet below the second.
  double spill_above_ms = 400;
  double spill_below_ms = 200;
  // Wait that an endpoint is taken to have when all of its answers are errors
  // and none of the others'.
  double error_penalty_ms = 1000;
  // What an endpoint in another failure domain has to be better by.
  double other_domain_penalty_ms = 20;
  // Wait that an endpoint is taken to have when it slows its group down: it
  // gets work when all others have more than that.
  double slow_penalty_ms = 3000;
  size_t max_prefixes = 4096;
};

// What to pick an endpoint for.
struct PickRequest {
  std::string target;
  // Endpoints that must not be picked.
  std::set<std::string> avoid;
  // Longest first; empty for requests without a prompt.
  std::vector<Prefix> prefixes;
  // How often full endpoints refused the request so far. Such reports were too
  // old to compare by, so the next pick relies on chance.
  uint32_t busy_refusals = 0;
};

// How an attempt went.
struct AttemptTimes {
  common::Duration first_token{};
  common::Duration total{};
};

// Keeps the candidates of one entry and picks among them. Owned by the control
// thread.
class Router {
 public:
  explicit Router(RouterOptions options);
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  // Adds an endpoint, or changes what it serves.
  void Upsert(const std::string& endpoint,
              const std::string& failure_domain,
              const std::string& target);
  // Forgets the endpoints that are not in `known`.
  void KeepOnly(const std::set<std::string>& known);

  void OnReport(const std::string& endpoint,
                LoadReport report,
                common::Time now);
  void OnCacheEvent(const std::string& endpoint, const CacheEvent& event);
  // These endpoints, and no others, slow their group's steps down.
  void OnSlow(const std::set<std::string>& endpoints);
  // A leaving endpoint is never picked again.
  void OnLeaving(const std::string& endpoint);
  // The endpoint is a new process: it is not leaving any more.
  void OnRestarted(const std::string& endpoint);

  // The endpoint for an attempt, or nothing when there is none. The attempt
  // counts as in flight until one of the three calls below.
  std::optional<std::string> Pick(const PickRequest& request, common::Time now);
  // Whether Pick() would find an endpoint.
  bool CanPick(const PickRequest& request) const;
  // Whether an attempt may go to this endpoint without a pick.
  bool MayTake(const std::string& endpoint,
               const std::set<std::string>& avoid) const;
  // An attempt goes to the endpoint without a pick.
  void OnResumed(const std::string& endpoint, common::Time now);

  void OnSuccess(const std::string& endpoint,
                 AttemptTimes times,
                 common::Time now);
  // Ejects the endpoint for a time that doubles with each failure in a row.
  void OnFailure(const std::string& endpoint, common::Time now);
  // The endpoint had no free slot and refused the attempt as not run. That is
  // no failure, but fresher word than the last report.
  void OnBusy(const std::string& endpoint, common::Time now);
  // The endpoint answered with an error of its own. Some requests fail wherever
  // they run, so only endpoints that fail far more often than the others of
  // their target get less work.
  void OnErrorAnswer(const std::string& endpoint, common::Time now);
  // The attempt was given up for a reason that is not the endpoint's.
  void OnAbandoned(const std::string& endpoint, common::Time now);

  // The wait for the first token that a request for `target` must expect, in
  // milliseconds; infinite when no endpoint can take it.
  double PredictedWaitMs(const std::string& target, common::Time now) const;

  const std::map<std::string, Candidate>& candidates() const {
    return candidates_;
  }

 private:
  // The candidates of one target.
  struct Pool {
    std::vector<Candidate*> own;
    std::vector<Candidate*> other;
    double first_token_ms = 0;
    double error_share = 0;
    // Smoothed wait of the picks in the own failure domain.
    double own_wait_ms = 0;
    bool spilling = false;
  };
  struct Choice {
    Candidate* candidate = nullptr;
    double score_ms = 0;
  };

  Candidate* Find(const std::string& endpoint);
  void RebuildPools();
  double WaitMs(const Candidate& candidate,
                const Pool& pool,
                common::Time now) const;
  bool IsUsable(const Candidate& candidate,
                const PickRequest& request,
                common::Time now,
                bool with_ejected) const;
  void Consider(Candidate* candidate,
                const Pool& pool,
                double bonus_ms,
                common::Time now,
                Choice& best) const;
  // The best of some of `from`, and of the holders of the prefix among them.
  // Changes the order of `from`.
  Choice BestOf(std::vector<Candidate*>& from,
                const Pool& pool,
                const PickRequest& request,
                common::Time now,
                bool with_ejected);
  void ConsiderHolders(const std::vector<Candidate*>& from,
                       const Pool& pool,
                       const PickRequest& request,
                       common::Time now,
                       Choice& best) const;
  Choice BestInPool(Pool& pool,
                    const PickRequest& request,
                    common::Time now,
                    bool with_ejected);
  bool MayEject(const Candidate& candidate, common::Time now) const;

  RouterOptions options_;
  std::minstd_rand random_;
  std::map<std::string, Candidate> candidates_;
  std::unordered_map<uint32_t, Candidate*> by_id_;
  std::map<std::string, Pool> pools_;
  PrefixHints hints_;
  uint32_t next_id_ = 1;
};

}  // namespace wagtailshore::routing

#endif  // STATE_ROUTING_ROUTER_H_
