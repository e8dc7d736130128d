#ifndef BENCH_ROUTING_POLICIES_H_
#define BENCH_ROUTING_POLICIES_H_

#include <limits>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "bench/fake_engine.h"
#include "common/strings.h"

// The routing policies under comparison, one object per entry. All except
// IdealPolicy use only load reports, cache events and the results of their own
// attempts.
namespace wagtailshore::bench {

using Engines = std::vector<std::unique_ptr<FakeEngine>>;

struct EntryOptions {
  std::string failure_domain;
  // Failure domain of each engine.
  std::vector<std::string> engine_domains;
  uint64_t seed = 1;
  const Engines* engines = nullptr;
};

struct RouteRequest {
  routing::Prefix prefix;
  uint32_t prompt_tokens = 0;
  // Engines that were already tried for this request.
  std::set<size_t> avoid;
  uint32_t busy_refusals = 0;
};

// Base class of policies: ignores all reports, events and results.
struct StatelessPolicy {
  // Whether a full endpoint refuses an attempt, until the limit of busy
  // refusals per request is reached.
  static constexpr bool kRefusedWhenFull = false;
  void OnBusy(size_t, common::Time) {}
  void OnReport(size_t, const routing::LoadReport&, common::Time) {}
  void OnCacheEvent(size_t, const routing::CacheEvent&) {}
  void OnSuccess(size_t, routing::AttemptTimes, common::Time) {}
  void OnFailure(size_t, common::Time) {}
};

class RandomPolicy : public StatelessPolicy {
 public:
  explicit RandomPolicy(const EntryOptions& options)
      : random_(options.seed), count_(options.engine_domains.size()) {}
  size_t Pick(const RouteRequest& request, common::Time) {
    while (true) {
      const size_t pick =
          std::uniform_int_distribution<size_t>(0, count_ - 1)(random_);
      if (!request.avoid.contains(pick)) {
        return pick;
      }
    }
  }

 private:
  std::mt19937_64 random_;
  size_t count_;
};

// Isolates the effect of refusals by full endpoints.
class RandomRefusedWhenFullPolicy : public RandomPolicy {
 public:
  using RandomPolicy::RandomPolicy;
  static constexpr bool kRefusedWhenFull = true;
};

class RoundRobinPolicy : public StatelessPolicy {
 public:
  explicit RoundRobinPolicy(const EntryOptions& options)
      : next_(std::mt19937_64(options.seed)()),
        count_(options.engine_domains.size()) {}
  size_t Pick(const RouteRequest& request, common::Time) {
    do {
      ++next_;
    } while (request.avoid.contains(next_ % count_));
    return next_ % count_;
  }

 private:
  size_t next_;
  size_t count_;
};

// The first version of the router: picks the engine with the least load, which
// is that of the last report plus the attempts sent since. Prefers engines that
// are not ejected and engines in the entry's failure domain.
class LeastReportedPolicy : public StatelessPolicy {
 public:
  explicit LeastReportedPolicy(const EntryOptions& options)
      : load_(options.engine_domains.size()),
        ejected_until_(load_.size()),
        remote_(load_.size()) {
    for (size_t i = 0; i < load_.size(); ++i) {
      remote_[i] = options.engine_domains[i] != options.failure_domain;
    }
  }
  void OnReport(size_t engine,
                const routing::LoadReport& report,
                common::Time) {
    load_[engine] = report.queued + report.running;
  }
  void OnFailure(size_t engine, common::Time now) {
    ejected_until_[engine] = now + common::milliseconds(500);
  }
  size_t Pick(const RouteRequest& request, common::Time now) {
    size_t best = load_.size();
    for (size_t i = 0; i < load_.size(); ++i) {
      if (!request.avoid.contains(i) &&
          (best == load_.size() || SortKey(i, now) < SortKey(best, now))) {
        best = i;
      }
    }
    ++load_[best];
    return best;
  }

 private:
  std::tuple<bool, bool, uint32_t> SortKey(size_t engine,
                                           common::Time now) const {
    return {ejected_until_[engine] > now, remote_[engine], load_[engine]};
  }

  std::vector<uint32_t> load_;
  std::vector<common::Time> ejected_until_;
  std::vector<bool> remote_;
};

// Reads the actual queue and cache of every engine, without lag.
class IdealPolicy : public StatelessPolicy {
 public:
  explicit IdealPolicy(const EntryOptions& options)
      : engines_(*options.engines) {}
  size_t Pick(const RouteRequest& request, common::Time) const {
    size_t best = 0;
    double best_ms = std::numeric_limits<double>::infinity();
    for (size_t i = 0; i < engines_.size(); ++i) {
      const double ms = engines_[i]->TrueFirstTokenMs(
          request.prefix.hash, request.prefix.tokens, request.prompt_tokens);
      const bool usable =
          !engines_[i]->refusing() && !request.avoid.contains(i);
      if (usable && ms < best_ms) {
        best = i;
        best_ms = ms;
      }
    }
    return best;
  }

 private:
  const Engines& engines_;
};

// Uses the shipped router, routing::Router.
class RouterPolicy {
 public:
  static constexpr bool kRefusedWhenFull = true;
  explicit RouterPolicy(const EntryOptions& options)
      : router_(
            {.failure_domain = options.failure_domain, .seed = options.seed}) {
    for (size_t i = 0; i < options.engine_domains.size(); ++i) {
      router_.Upsert(Name(i), options.engine_domains[i], "model");
    }
  }
  void OnReport(size_t engine,
                const routing::LoadReport& report,
                common::Time now) {
    router_.OnReport(Name(engine), report, now);
  }
  void OnCacheEvent(size_t engine, const routing::CacheEvent& event) {
    router_.OnCacheEvent(Name(engine), event);
  }
  void OnSuccess(size_t engine, routing::AttemptTimes times, common::Time now) {
    router_.OnSuccess(Name(engine), times, now);
  }
  void OnBusy(size_t engine, common::Time now) {
    router_.OnBusy(Name(engine), now);
  }
  void OnFailure(size_t engine, common::Time now) {
    router_.OnFailure(Name(engine), now);
  }
  size_t Pick(const RouteRequest& request, common::Time now) {
    routing::PickRequest pick{.target = "model",
                              .prefixes = {request.prefix},
                              .busy_refusals = request.busy_refusals};
    for (const size_t engine : request.avoid) {
      pick.avoid.insert(Name(engine));
    }
    return std::stoul(router_.Pick(pick, now)->substr(1));
  }

 private:
  static std::string Name(size_t engine) { return common::StrCat("e", engine); }

  routing::Router router_;
};

}  // namespace wagtailshore::bench

#endif  // BENCH_ROUTING_POLICIES_H_
