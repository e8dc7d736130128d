#include "bench/fake_engine.h"

#include <algorithm>
#include <utility>

namespace wagtailshore::bench {

uint64_t FakeEngine::Submit(Job job) {
  const uint64_t id = next_id_++;
  queued_.emplace_back(id, std::move(job));
  StartQueued();
  return id;
}

void FakeEngine::Cancel(uint64_t id) {
  std::erase_if(queued_, [id](const auto& item) { return item.first == id; });
  running_.erase(id);
  StartQueued();
}

void FakeEngine::Crash() {
  auto running = std::exchange(running_, {});
  auto queued = std::exchange(queued_, {});
  cache_.clear();
  prefill_free_at_ = events_.now();
  for (auto& [id, item] : running) {
    item.job.on_lost();
  }
  for (auto& [id, job] : queued) {
    job.on_lost();
  }
}

routing::LoadReport FakeEngine::Report() const {
  return {.queued = static_cast<uint32_t>(queued_.size()),
          .running = static_cast<uint32_t>(running_.size()),
          .slots = options_.slots};
}

double FakeEngine::PrefillMs(const Job& job, bool cached) const {
  const uint32_t tokens =
      cached ? job.prompt_tokens - job.prefix_tokens : job.prompt_tokens;
  return tokens * options_.prefill_ms_per_token * slowdown_;
}

double FakeEngine::TrueFirstTokenMs(uint64_t prefix,
                                    uint32_t prefix_tokens,
                                    uint32_t prompt_tokens) const {
  const common::Time now = std::max(events_.now(), stalled_until_);
  common::Time start = now;
  if (running_.size() + queued_.size() >= options_.slots) {
    std::vector<common::Time> ends;
    for (const auto& [id, item] : running_) {
      ends.push_back(std::max(item.ends, now));
    }
    std::sort(ends.begin(), ends.end());
    start = ends[std::min(queued_.size(), ends.size() - 1)];
  }
  const Job job{.prefix = prefix,
                .prefix_tokens = prefix_tokens,
                .prompt_tokens = prompt_tokens};
  return ToMs(std::max(start, prefill_free_at_) - events_.now()) +
         PrefillMs(job, IsCached(prefix));
}

void FakeEngine::Schedule(uint64_t id,
                          common::Time at,
                          std::function<void()> step) {
  events_.At(at, [this, id, step = std::move(step)] {
    if (!running_.contains(id)) {
      return;
    }
    if (events_.now() < stalled_until_) {
      Schedule(id, stalled_until_, step);
      return;
    }
    step();
  });
}

void FakeEngine::StartQueued() {
  while (running_.size() < options_.slots && !queued_.empty()) {
    auto [id, job] = std::move(queued_.front());
    queued_.pop_front();
    const bool hit = IsCached(job.prefix);
    Cache(job.prefix);
    prefill_free_at_ =
        std::max({prefill_free_at_, events_.now(), stalled_until_}) +
        FromMs(PrefillMs(job, hit));
    const common::Time ends =
        prefill_free_at_ +
        FromMs(job.output_tokens * options_.token_ms * slowdown_);
    running_[id] = {.job = std::move(job), .cache_hit = hit, .ends = ends};
    Schedule(id, prefill_free_at_, [this, id = id, ends] {
      const Running& item = running_.at(id);
      item.job.on_first_token(item.cache_hit);
      Schedule(id, ends, [this, id] { Finish(id); });
    });
  }
}

void FakeEngine::Finish(uint64_t id) {
  const auto done = running_.at(id).job.on_done;
  running_.erase(id);
  StartQueued();
  done();
}

bool FakeEngine::IsCached(uint64_t prefix) const {
  return std::find(cache_.begin(), cache_.end(), prefix) != cache_.end();
}

void FakeEngine::Cache(uint64_t prefix) {
  const auto found = std::find(cache_.begin(), cache_.end(), prefix);
  if (found != cache_.end()) {
    cache_.splice(cache_.begin(), cache_, found);
    return;
  }
  cache_.push_front(prefix);
  routing::CacheEvent event{.sequence = next_event_++, .added = {prefix}};
  if (cache_.size() > options_.cached_prefixes) {
    event.removed.push_back(cache_.back());
    cache_.pop_back();
  }
  on_cache_event(event);
}

}  // namespace wagtailshore::bench
