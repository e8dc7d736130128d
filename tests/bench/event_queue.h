#ifndef BENCH_EVENT_QUEUE_H_
#define BENCH_EVENT_QUEUE_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "common/time.h"

namespace wagtailshore::bench {

// Discrete-event simulation with a virtual clock. Runs events in order of time;
// events with the same time run in the order in which they were added.
class EventQueue {
 public:
  common::Time now() const { return now_; }

  void At(common::Time at, std::function<void()> run) {
    events_.push({.at = std::max(at, now_),
                  .order = next_order_++,
                  .run = std::move(run)});
  }
  void After(common::Duration delay, std::function<void()> run) {
    At(now_ + delay, std::move(run));
  }

  void RunUntil(common::Time end) {
    while (!events_.empty() && events_.top().at <= end) {
      Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.run();
    }
    now_ = end;
  }

 private:
  struct Event {
    common::Time at;
    uint64_t order = 0;
    std::function<void()> run;

    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  common::Time now_{};
  uint64_t next_order_ = 0;
  std::priority_queue<Event> events_;
};

inline common::Duration FromMs(double ms) {
  return std::chrono::duration_cast<common::Duration>(
      std::chrono::duration<double, std::milli>(ms));
}

inline double ToMs(common::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

// Returns the `share` quantile of `sorted`, or 0 if `sorted` is empty.
inline double Percentile(const std::vector<double>& sorted, double share) {
  if (sorted.empty()) {
    return 0;
  }
  return sorted[std::min(
      sorted.size() - 1,
      static_cast<size_t>(share * static_cast<double>(sorted.size())))];
}

}  // namespace wagtailshore::bench

#endif  // BENCH_EVENT_QUEUE_H_
