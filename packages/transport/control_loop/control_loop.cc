#include "transport/control_loop/control_loop.h"

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <ace/Select_Reactor.h>

#include <deque>
#include <mutex>
#include <thread>
#include <vector>

#include "common/invariant.h"

namespace wagtailshore::control_loop {
namespace {

ACE_Time_Value ToAceTime(common::Duration duration) {
  return ACE_Time_Value(
      std::chrono::duration_cast<std::chrono::microseconds>(duration));
}

// The overridden method name comes from ACE.
class PeriodicTask final : public ACE_Event_Handler {
 public:
  explicit PeriodicTask(std::function<void()> task) : task_(std::move(task)) {}

  int handle_timeout(const ACE_Time_Value&, const void*) override {
    task_();
    return 0;
  }

 private:
  std::function<void()> task_;
};

}  // namespace

class ControlLoop::Impl final : public ACE_Event_Handler {
 public:
  Impl() : reactor_(new ACE_Select_Reactor, /*delete_implementation=*/true) {
    thread_ = std::thread([this] {
      reactor_.owner(ACE_Thread::self());
      reactor_.run_reactor_event_loop();
    });
  }

  ~Impl() override {
    Post([this] { reactor_.end_reactor_event_loop(); });
    thread_.join();
  }

  void Post(std::function<void()> task) {
    bool wake = false;
    {
      const std::lock_guard lock(mutex_);
      wake = tasks_.empty();
      tasks_.push_back(std::move(task));
    }
    // Notifies only when the queue was empty: the reactor's pipe is bounded,
    // and a full pipe would block the caller.
    if (wake) {
      reactor_.notify(this, ACE_Event_Handler::EXCEPT_MASK);
    }
  }

  void Every(common::Duration period, std::function<void()> task) {
    Post([this, period, task = std::move(task)] {
      periodic_.push_back(std::make_unique<PeriodicTask>(task));
      const ACE_Time_Value interval = ToAceTime(period);
      const long timer = reactor_.schedule_timer(periodic_.back().get(),
                                                 nullptr, interval, interval);
      WS_INVARIANT(timer != -1) << "the reactor accepts the timer";
    });
  }

  // Called by ACE on the control thread after a notify().
  int handle_exception(ACE_HANDLE) override {
    std::deque<std::function<void()>> tasks;
    {
      const std::lock_guard lock(mutex_);
      tasks.swap(tasks_);
    }
    for (const auto& task : tasks) {
      task();
    }
    return 0;
  }

 private:
  std::mutex mutex_;
  std::deque<std::function<void()>> tasks_;
  // The reactor refers to these, so it is declared after them and destroyed
  // first.
  std::vector<std::unique_ptr<PeriodicTask>> periodic_;
  ACE_Reactor reactor_;
  std::thread thread_;
};

ControlLoop::ControlLoop() : impl_(std::make_unique<Impl>()) {}

ControlLoop::~ControlLoop() = default;

void ControlLoop::Post(std::function<void()> task) {
  impl_->Post(std::move(task));
}

void ControlLoop::Every(common::Duration period, std::function<void()> task) {
  impl_->Every(period, std::move(task));
}

}  // namespace wagtailshore::control_loop
