#ifndef TRANSPORT_EVENT_LOOP_EVENT_LOOP_H_
#define TRANSPORT_EVENT_LOOP_EVENT_LOOP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string_view>

#include "common/time.h"

// A single-threaded event loop for sockets, timers and signals. Code that runs
// on it can share state without locks.
namespace wagtailshore::event_loop {

// Receives the readiness events of a descriptor. Must outlive its registration.
class Watcher {
 public:
  virtual ~Watcher() = default;
  virtual void OnReadable() = 0;
  virtual void OnWritable() = 0;
  // What the descriptor is for, in one word, for BusyPeriod.
  virtual std::string_view activity() const { return "descriptor"; }
};

// A time in which the loop was never idle. What becomes ready in it waits for
// its handler, so its length so far bounds how late the loop is.
struct BusyPeriod {
  common::Duration length{};
  // Time spent in handlers of each activity: that of a watcher, or the function
  // that started a timer or posted a task. The views outlive the loop.
  std::map<std::string_view, common::Duration> spent;
  // The longest call of a handler.
  common::Duration longest{};
  std::string_view longest_activity;
};

// The events that a watcher waits for.
struct Interest {
  bool readable = false;
  bool writable = false;

  bool operator==(const Interest&) const = default;
};

using TimerId = uint64_t;
inline constexpr TimerId kNoTimer = 0;

class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // The time since boot, including time in suspension, so that ages and
  // deadlines stay correct on an instance that was suspended.
  common::Time Now() const;

  // Registers `descriptor`, or changes the events that a registered one waits
  // for. With an empty interest the descriptor stays registered without events.
  void Watch(int descriptor, Watcher* watcher, Interest interest);
  // Must be called before the descriptor is closed.
  void Unwatch(int descriptor);

  // Runs `task` once, at `when` or later. `activity` is for BusyPeriod.
  TimerId RunAt(common::Time when,
                std::function<void()> task,
                const char* activity = __builtin_FUNCTION());
  TimerId RunAfter(common::Duration delay,
                   std::function<void()> task,
                   const char* activity = __builtin_FUNCTION()) {
    return RunAt(Now() + delay, std::move(task), activity);
  }
  // Runs `task` every `period`, the first time after one period.
  void Every(common::Duration period,
             std::function<void()> task,
             const char* activity = __builtin_FUNCTION());
  // Does nothing when the timer has already run or is kNoTimer.
  void Cancel(TimerId timer);
  // Runs `task` after the callbacks of the current iteration. Not thread-safe.
  void Post(std::function<void()> task,
            const char* activity = __builtin_FUNCTION());

  // How long the loop has not been idle: bounds how long ago the event that is
  // being handled became ready.
  common::Duration busy_for() const;
  // Calls `observer` at the end of each busy period of at least `min_length`,
  // and once in each `min_length` of one that goes on, with what is new.
  void ObserveBusyPeriods(common::Duration min_length,
                          std::function<void(const BusyPeriod&)> observer);

  // Calls `handler` on the loop's thread after the process received `signal`.
  void OnSignal(int signal, std::function<void()> handler);

  // Returns after Stop() and can be called again afterwards.
  void Run();
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace wagtailshore::event_loop

#endif  // TRANSPORT_EVENT_LOOP_EVENT_LOOP_H_
