#ifndef SUPPORT_EVENT_QUEUE_H_
#define SUPPORT_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "common/time.h"

namespace wagtailshore::test_support {

// A virtual clock with the events that are due on it. Events due at the same
// time happen in the order in which they were added.
class EventQueue {
 public:
  common::Time now() const { return now_; }
  // Events that have happened.
  uint64_t steps() const { return steps_; }

  void After(common::Duration delay, std::function<void()> event) {
    events_.push({now_ + delay, next_++, std::move(event)});
  }

  // Lets everything due up to and at `end` happen.
  void RunUntil(common::Time end) {
    while (!events_.empty() && events_.top().at <= end) {
      std::function<void()> happen = events_.top().happen;
      now_ = events_.top().at;
      events_.pop();
      ++steps_;
      happen();
    }
    now_ = end;
  }

 private:
  struct Event {
    common::Time at;
    uint64_t number;
    std::function<void()> happen;

    bool operator<(const Event& other) const {
      // The queue's top is its greatest element.
      return std::pair(at, number) > std::pair(other.at, other.number);
    }
  };

  common::Time now_{};
  uint64_t next_ = 0;
  uint64_t steps_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace wagtailshore::test_support

#endif  // SUPPORT_EVENT_QUEUE_H_
