#ifndef TRANSPORT_EVENT_LOOP_EVENT_LOOP_H_
#define TRANSPORT_EVENT_LOOP_EVENT_LOOP_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "common/time.h"

// One thread that waits for sockets, timers and stop signals. Everything that
// runs on it may touch the same state without locks.
namespace wagtailshore::event_loop {

// Told when a descriptor is ready. Must outlive its registration.
class Watcher {
 public:
  virtual ~Watcher() = default;
  virtual void OnReadable() = 0;
  virtual void OnWritable() = 0;
};

// What a watcher waits for.
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

  // The time since boot, suspension included, so that ages and deadlines stay
  // true on an instance that was suspended.
  common::Time Now() const;

  // Registers `descriptor`, or changes what is waited for. With an empty
  // interest the descriptor stays registered but is not reported.
  void Watch(int descriptor, Watcher* watcher, Interest interest);
  // Must be called before the descriptor is closed.
  void Unwatch(int descriptor);

  // Runs `task` once, not before `when`.
  TimerId RunAt(common::Time when, std::function<void()> task);
  TimerId RunAfter(common::Duration delay, std::function<void()> task) {
    return RunAt(Now() + delay, std::move(task));
  }
  // Runs `task` every `period`, the first time after one period.
  void Every(common::Duration period, std::function<void()> task);
  void Cancel(TimerId timer);
  // Runs `task` after the callbacks that run now.
  void Post(std::function<void()> task);

  // Calls `handler` on the loop's thread after the process got `signal`.
  void OnSignal(int signal, std::function<void()> handler);

  // Returns after Stop(); may be called again then.
  void Run();
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace wagtailshore::event_loop

#endif  // TRANSPORT_EVENT_LOOP_EVENT_LOOP_H_
