#ifndef BENCH_FAKE_ENGINE_H_
#define BENCH_FAKE_ENGINE_H_

#include <deque>
#include <functional>
#include <list>
#include <map>

#include "bench/event_queue.h"
#include "state/routing/router.h"

namespace wagtailshore::bench {

struct EngineOptions {
  uint32_t slots = 8;
  double prefill_ms_per_token = 0.2;
  double token_ms = 40;
  // Capacity of the prefix cache, in prefixes.
  size_t cached_prefixes = 16;
};

// A model request that is submitted to an engine.
struct Job {
  uint64_t prefix = 0;
  uint32_t prefix_tokens = 0;
  uint32_t prompt_tokens = 0;
  uint32_t output_tokens = 0;
  std::function<void(bool cache_hit)> on_first_token;
  std::function<void()> on_done;
  // Called if the engine crashes before the job is done.
  std::function<void()> on_lost = [] {};
};

// Simulates a model engine: runs up to `slots` jobs concurrently, processes one
// prompt at a time and skips prompt prefixes that are in its cache.
class FakeEngine {
 public:
  FakeEngine(EventQueue& events, EngineOptions options)
      : events_(events), options_(options) {}

  // Queues the job and returns its id for Cancel().
  uint64_t Submit(Job job);
  void Cancel(uint64_t id);

  // Suspends all work until this time.
  void StallUntil(common::Time until) { stalled_until_ = until; }
  // Multiplies the duration of work that starts from now on.
  void SetSlowdown(double factor) { slowdown_ = factor; }
  void SetRefusing(bool refusing) { refusing_ = refusing; }
  bool refusing() const { return refusing_; }
  // Whether the engine's endpoint has no free slot. The endpoint's count has no
  // lag because every job passes through it.
  bool Full() const {
    return running_.size() + queued_.size() >= options_.slots;
  }
  // Drops all jobs and the cache. Calls `on_lost` of each job.
  void Crash();

  routing::LoadReport Report() const;
  // Time to the first token of a job submitted now, calculated from the
  // engine's actual queue and cache.
  double TrueFirstTokenMs(uint64_t prefix,
                          uint32_t prefix_tokens,
                          uint32_t prompt_tokens) const;
  // Called on each change of the cache.
  std::function<void(const routing::CacheEvent&)> on_cache_event =
      [](const routing::CacheEvent&) {};

 private:
  struct Running {
    Job job;
    bool cache_hit = false;
    common::Time ends;
  };

  // Runs `step` of job `id` at `at`, or when the engine's stall ends if that is
  // later. Does nothing if the job is no longer running.
  void Schedule(uint64_t id, common::Time at, std::function<void()> step);
  void StartQueued();
  void Finish(uint64_t id);
  bool IsCached(uint64_t prefix) const;
  void Cache(uint64_t prefix);
  double PrefillMs(const Job& job, bool cached) const;

  EventQueue& events_;
  EngineOptions options_;
  std::map<uint64_t, Running> running_;
  std::deque<std::pair<uint64_t, Job>> queued_;
  // Most recently used first.
  std::list<uint64_t> cache_;
  common::Time prefill_free_at_{};
  common::Time stalled_until_{};
  double slowdown_ = 1;
  bool refusing_ = false;
  uint64_t next_id_ = 1;
  uint64_t next_event_ = 1;
};

}  // namespace wagtailshore::bench

#endif  // BENCH_FAKE_ENGINE_H_
