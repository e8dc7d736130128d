#ifndef SUPPORT_EVENT_QUEUE_H_
#define SUPPORT_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "common/time.h"

namespace wagtailshore::test_support {

// A virtual clock with a queue of timed events. Events with the same due time
// run in the order in which they were added.
class EventQueue {
 public:
  common::Time now() const { return now_; }
  // Number of events that have run.
  uint64_t steps() const { return steps_; }

  void After(common::Duration delay, std::function<void()> event) {
    events_.push({now_ + delay, next_number_++, std::move(event)});
  }

  // Runs all events due up to and including `end`, then sets the clock to
  // `end`.
  void RunUntil(common::Time end) {
    while (!events_.empty() && events_.top().at <= end) {
      std::function<void()> action = events_.top().action;
      now_ = events_.top().at;
      events_.pop();
      ++steps_;
      action();
    }
    now_ = end;
  }

 private:
  struct Event {
    common::Time at;
    uint64_t number;
    std::function<void()> action;

    bool operator<(const Event& other) const {
      // std::priority_queue returns its greatest element first, so the order is
      // reversed.
      return std::pair(at, number) > std::pair(other.at, other.number);
    }
  };

  common::Time now_{};
  uint64_t next_number_ = 0;
  uint64_t steps_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace wagtailshore::test_support

#endif  // SUPPORT_EVENT_QUEUE_H_
