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
  // Prompt prefixes that its memory holds.
  size_t cached_prefixes = 16;
};

// A model request as an engine sees it.
struct Job {
  uint64_t prefix = 0;
  uint32_t prefix_tokens = 0;
  uint32_t prompt_tokens = 0;
  uint32_t output_tokens = 0;
  std::function<void(bool cache_hit)> on_first_token;
  std::function<void()> on_done;
  // The engine crashed with the job on it.
  std::function<void()> on_lost = [] {};
};

// Stands in for a model engine: works on a batch of jobs at once, reads one
// prompt at a time, and skips the prefixes that it has cached.
class FakeEngine {
 public:
  FakeEngine(EventQueue& events, EngineOptions options)
      : events_(events), options_(options) {}

  // The number by which the job can be cancelled.
  uint64_t Submit(Job job);
  void Cancel(uint64_t id);

  // No progress before this time.
  void StallUntil(common::Time until) { stalled_until_ = until; }
  // All work takes this many times as long.
  void SetSlowness(double factor) { slowness_ = factor; }
  void SetRefusing(bool refusing) { refusing_ = refusing; }
  bool refusing() const { return refusing_; }
  // Whether the endpoint beside the engine has no free slot. The endpoint knows
  // this at once: every job passes through it.
  bool Full() const {
    return running_.size() + queued_.size() >= options_.slots;
  }
  // Loses every job and the cache.
  void Crash();

  routing::LoadReport Report() const;
  // Time to the first token of a job that were submitted now, by what the
  // engine itself knows.
  double TrueFirstTokenMs(uint64_t prefix,
                          uint32_t prefix_tokens,
                          uint32_t prompt_tokens) const;
  // Called with each change of the cache.
  std::function<void(const routing::CacheEvent&)> on_cache_event =
      [](const routing::CacheEvent&) {};

 private:
  struct Running {
    Job job;
    bool cache_hit = false;
    common::Time ends;
  };

  // Runs `step` of job `id` at `at`, later if the engine is stalled then.
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
  common::Time prefill_free_{};
  common::Time stalled_until_{};
  double slowness_ = 1;
  bool refusing_ = false;
  uint64_t next_id_ = 1;
  uint64_t next_event_ = 1;
};

}  // namespace wagtailshore::bench

#endif  // BENCH_FAKE_ENGINE_H_
