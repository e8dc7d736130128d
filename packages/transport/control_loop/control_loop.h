#ifndef TRANSPORT_CONTROL_LOOP_CONTROL_LOOP_H_
#define TRANSPORT_CONTROL_LOOP_CONTROL_LOOP_H_

#include <functional>
#include <future>
#include <memory>
#include <utility>

#include "common/time.h"

namespace wagtailshore::control_loop {

// The single thread that owns the control state of a process. Traffic threads
// access that state only through Call() and Post(), so it needs no locks.
class ControlLoop {
 public:
  ControlLoop();
  // Runs the tasks that are already posted, then stops the thread.
  ~ControlLoop();
  ControlLoop(const ControlLoop&) = delete;
  ControlLoop& operator=(const ControlLoop&) = delete;

  // Runs `task` on the control thread, after all tasks posted before it.
  void Post(std::function<void()> task);

  // Runs `task` on the control thread every `period`, the first time after one
  // period, until the loop is destroyed.
  void Every(common::Duration period, std::function<void()> task);

  // Runs `function` on the control thread and waits for its result. Must not
  // be called from the control thread.
  template <typename Function>
  auto Call(Function function) {
    using Result = decltype(function());
    std::promise<Result> promise;
    std::future<Result> result = promise.get_future();
    Post([&] {
      if constexpr (std::is_void_v<Result>) {
        function();
        promise.set_value();
      } else {
        promise.set_value(function());
      }
    });
    return result.get();
  }

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace wagtailshore::control_loop

#endif  // TRANSPORT_CONTROL_LOOP_CONTROL_LOOP_H_
