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

// Load that an endpoint reports about itself; always somewhat out of date.
struct LoadReport {
  // Requests that wait in the endpoint's queue.
  uint32_t queued = 0;
  // Requests that the endpoint is processing.
  uint32_t running = 0;
  // Requests that it can process at the same time; 0 when unknown.
  uint32_t slots = 0;
  // Age of the values when the report arrived.
  common::Duration age{};
};

// The router's state of one endpoint.
struct Candidate {
  // Identifies the endpoint in PrefixHints; never reused.
  uint32_t id = 0;
  std::string name;
  std::string failure_domain;
  // Name of the model or service that it serves.
  std::string target;
  LoadReport report;
  // Requests in the report that were not sent by this entry.
  uint32_t other_load = 0;
  OwnLoad own_load;
  // Requests that the endpoint can process at the same time; 0 until known.
  uint32_t slots = 0;
  // Smoothed times of this entry's attempts, in milliseconds; 0 until known.
  double first_token_ms = 0;
  double duration_ms = 0;
  // Smoothed share of error responses.
  double error_share = 0;
  common::Time measured_at{};
  bool leaving = false;
  // Whether it slows down its group: all other ranks wait for it in each step.
  bool slow = false;
  // Until this time the endpoint is ejected: it is picked only when no other is
  // usable.
  common::Time ejected_until{};
  uint32_t consecutive_failures = 0;

  // Estimated number of requests at the endpoint.
  uint32_t load() const { return other_load + own_load.in_flight(); }
};

struct RouterOptions {
  std::string failure_domain;
  // Seed of the random choices.
  uint64_t seed = 1;
  // Random candidates compared per pick, in addition to those that probably
  // have the prompt's prefix in their cache.
  uint32_t choices = 2;
  common::Duration ejection_base = common::milliseconds(500);
  common::Duration ejection_max = common::seconds(30);
  // Maximum share of a target's endpoints that may be ejected at the same time.
  double max_ejected_share = 0.5;
  // Wait that each request on an endpoint with free slots adds.
  double wait_per_running_ms = 30;
  // Time saved by each token of the prompt that is already cached.
  double saved_per_cached_token_ms = 0.2;
  // Requests spill over to other failure domains once the smoothed predicted
  // wait in the own failure domain exceeds the first value, until it falls
  // below the second. The hysteresis avoids switching back and forth.
  double spill_above_ms = 400;
  double spill_below_ms = 200;
  // Wait added for an endpoint whose responses are all errors while other
  // endpoints return none.
  double error_penalty_ms = 1000;
  // Wait added for endpoints in other failure domains.
  double other_domain_penalty_ms = 20;
  // Wait added for an endpoint that slows down its group: it gets new work only
  // when the wait at all others exceeds this.
  double slow_penalty_ms = 3000;
  size_t max_prefixes = 4096;
};

// Describes the attempt to pick an endpoint for.
struct PickRequest {
  std::string target;
  // Endpoints that must not be picked.
  std::set<std::string> avoid;
  // Endpoints that are picked before others if they are neither ejected nor
  // slow.
  std::set<std::string> prefer = {};
  // Longest first; empty for requests without a prompt.
  std::vector<Prefix> prefixes;
  // Number of times that an endpoint without a free slot has refused the
  // request. The load reports were then too old to compare by, so the next
  // endpoint is picked at random.
  uint32_t busy_refusals = 0;
};

// Durations of an attempt that succeeded, from its start.
struct AttemptTimes {
  common::Duration first_token{};
  common::Duration total{};
};

// Keeps the candidates of one entry and picks an endpoint for each attempt: the
// one with the shortest predicted wait of a few random candidates and of those
// that probably have the prompt's prefix cached. Owned by the control thread.
class Router {
 public:
  explicit Router(RouterOptions options);
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  // Adds an endpoint, or updates its failure domain and target.
  void Upsert(const std::string& endpoint,
              const std::string& failure_domain,
              const std::string& target);
  // Removes all endpoints that are not in `listed`.
  void KeepOnly(const std::set<std::string>& listed);

  void OnReport(const std::string& endpoint,
                LoadReport report,
                common::Time now);
  void OnCacheEvent(const std::string& endpoint, const CacheEvent& event);
  // Marks exactly these endpoints as slowing down their groups.
  void SetSlowEndpoints(const std::set<std::string>& endpoints);
  // Marks the endpoint as leaving: it gets no new attempts.
  void OnLeaving(const std::string& endpoint);
  // The endpoint is a new process: clears the leaving mark, its load and its
  // prefix hints.
  void OnRestarted(const std::string& endpoint);

  // Returns the endpoint for an attempt, or nullopt when there is none. The
  // attempt counts as in flight until one of the calls below ends it:
  // OnSuccess, OnFailure, OnBusy, OnErrorResponse or OnAbandoned.
  std::optional<std::string> Pick(const PickRequest& request, common::Time now);
  // Whether Pick() would return an endpoint.
  bool CanPick(const PickRequest& request) const;
  // Whether an attempt may be sent to this endpoint without Pick().
  bool IsEligible(const std::string& endpoint,
                  const std::set<std::string>& avoid) const;
  // Counts an attempt as in flight that is sent to the endpoint without Pick().
  void BeginAttempt(const std::string& endpoint, common::Time now);

  void OnSuccess(const std::string& endpoint,
                 AttemptTimes times,
                 common::Time now);
  // Ejects the endpoint for a time that doubles with each consecutive failure.
  void OnFailure(const std::string& endpoint, common::Time now);
  // The endpoint had no free slot and refused the attempt without running it.
  // Not a failure: it updates the load, as it is newer than the last report.
  void OnBusy(const std::string& endpoint, common::Time now);
  // The endpoint returned an error response. Some requests fail on every
  // endpoint, so only endpoints with far more errors than the average of their
  // target get less work.
  void OnErrorResponse(const std::string& endpoint, common::Time now);
  // The attempt was cancelled for a reason unrelated to the endpoint.
  void OnAbandoned(const std::string& endpoint, common::Time now);

  // Returns the predicted time to the first token of a request for `target`, in
  // milliseconds; infinite when no endpoint can serve it.
  double PredictedWaitMs(const std::string& target, common::Time now) const;

  const std::map<std::string, Candidate>& candidates() const {
    return candidates_;
  }

 private:
  // The candidates of one target.
  struct Pool {
    // In the own failure domain, and in all others.
    std::vector<Candidate*> own_domain;
    std::vector<Candidate*> other_domains;
    double first_token_ms = 0;
    double error_share = 0;
    // Smoothed predicted wait of the best candidate in the own failure domain.
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
  // Returns the best of a few random candidates in `from` and of those in
  // `from` that probably have a prefix of the prompt. Reorders `from`.
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
  // The first preferred endpoint that works well; null if there is none.
  Candidate* FindPreferred(const PickRequest& request, common::Time now);
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
