#include "transport/event_loop/event_loop.h"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <ace/Thread.h>
#include <signal.h>
#include <time.h>

#include <algorithm>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "common/invariant.h"

namespace wagtailshore::event_loop {
namespace {

// Upper bound on one wait when no timer is due earlier. It only limits how late
// a signal handler, which may call Stop(), runs on an idle loop.
constexpr common::Duration kMaxWait = common::seconds(10);
// The loop was idle when it waited this long for an event: longer than a system
// call takes.
constexpr common::Duration kIdleWait = common::milliseconds(1);

// Measures the busy periods of a loop.
class BusyMeter {
 public:
  explicit BusyMeter(common::Time now) : began_(now), reported_(now) {}

  // The loop begins to wait for an event.
  void OnWait(common::Time now) { waits_since_ = now; }
  // A handler is called, or the wait ended without one.
  void OnWaitEnded(common::Time now) {
    if (!waits_since_.has_value()) {
      return;
    }
    const bool idle = now - *waits_since_ >= kIdleWait;
    if (idle) {
      Report(*waits_since_);
      began_ = now;
      reported_ = now;
    }
    waits_since_.reset();
  }
  void OnHandled(std::string_view activity,
                 common::Time from,
                 common::Time to) {
    const common::Duration took = to - from;
    period_.spent[activity] += took;
    if (took > period_.longest) {
      period_.longest = took;
      period_.longest_activity = activity;
    }
    if (to - reported_ >= min_length_) {
      Report(to);
    }
  }
  common::Duration BusyFor(common::Time now) const { return now - began_; }
  void Observe(common::Duration min_length,
               std::function<void(const BusyPeriod&)> observer) {
    min_length_ = min_length;
    observer_ = std::move(observer);
  }

 private:
  void Report(common::Time now) {
    if (observer_ && now - began_ >= min_length_ && !period_.spent.empty()) {
      period_.length = now - began_;
      observer_(period_);
    }
    period_ = {};
    reported_ = now;
  }

  std::optional<common::Time> waits_since_;
  common::Time began_;
  common::Time reported_;
  common::Duration min_length_ = common::Duration::max();
  std::function<void(const BusyPeriod&)> observer_;
  // Since the last report.
  BusyPeriod period_;
};

common::Time BootTime() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return common::Time(std::chrono::duration_cast<common::Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

// Runs handlers and measures them.
class LoopClock {
 public:
  template <typename Handler>
  void Measure(std::string_view activity, const Handler& handler) {
    const common::Time from = BootTime();
    meter_.OnWaitEnded(from);
    handler();
    meter_.OnHandled(activity, from, BootTime());
  }
  BusyMeter& meter() { return meter_; }

 private:
  BusyMeter meter_{BootTime()};
};

// The overridden method names come from ACE.
class DescriptorHandler final : public ACE_Event_Handler {
 public:
  DescriptorHandler(int descriptor, Watcher* watcher, LoopClock& clock)
      : descriptor_(descriptor), watcher_(watcher), clock_(clock) {}

  ACE_HANDLE get_handle() const override { return descriptor_; }
  int handle_input(ACE_HANDLE) override {
    if (watcher_ != nullptr && interest_.readable) {
      clock_.Measure(watcher_->activity(), [this] { watcher_->OnReadable(); });
    }
    return 0;
  }
  int handle_output(ACE_HANDLE) override {
    if (watcher_ != nullptr && interest_.writable) {
      clock_.Measure(watcher_->activity(), [this] { watcher_->OnWritable(); });
    }
    return 0;
  }

  int descriptor() const { return descriptor_; }
  Interest interest() const { return interest_; }
  void set_interest(Interest interest) { interest_ = interest; }
  // Stops calls to the watcher.
  void Detach() { watcher_ = nullptr; }

 private:
  int descriptor_;
  Watcher* watcher_;
  LoopClock& clock_;
  Interest interest_;
};

class SignalHandler final : public ACE_Event_Handler {
 public:
  explicit SignalHandler(std::function<void()> handler)
      : handler_(std::move(handler)) {}

  // Runs in signal context, so it only sets a flag for the loop.
  int handle_signal(int, siginfo_t*, ucontext_t*) override {
    pending_ = 1;
    return 0;
  }
  void RunIfPending() {
    if (pending_ != 0) {
      pending_ = 0;
      handler_();
    }
  }

 private:
  volatile sig_atomic_t pending_ = 0;
  std::function<void()> handler_;
};

ACE_Reactor_Mask MaskOf(Interest interest) {
  ACE_Reactor_Mask mask = ACE_Event_Handler::NULL_MASK;
  if (interest.readable) {
    mask |= ACE_Event_Handler::READ_MASK;
  }
  if (interest.writable) {
    mask |= ACE_Event_Handler::WRITE_MASK;
  }
  return mask;
}

}  // namespace

class EventLoop::Impl {
 public:
  Impl()
      // ACE_Dev_Poll_Reactor has room for as many descriptors as the process
      // may open.
      : reactor_(new ACE_Dev_Poll_Reactor, /*delete_implementation=*/true) {
    reactor_.owner(ACE_Thread::self());
    // A signal does not interrupt a wait; it is handled after the next event or
    // timer.
    reactor_.restart(1);
  }

  ~Impl() {
    for (auto& [descriptor, handler] : handlers_) {
      if (handler->interest() != Interest{}) {
        RemoveFromReactor(*handler);
      }
    }
  }

  void Watch(int descriptor, Watcher* watcher, Interest interest) {
    std::unique_ptr<DescriptorHandler>& handler = handlers_[descriptor];
    if (handler == nullptr) {
      handler =
          std::make_unique<DescriptorHandler>(descriptor, watcher, clock_);
    }
    const Interest before = handler->interest();
    if (before == interest) {
      return;
    }
    handler->set_interest(interest);
    const ACE_Reactor_Mask wanted = MaskOf(interest);
    const ACE_Reactor_Mask registered = MaskOf(before);
    // The reactor refuses a handler without an event, and does not remove one
    // that has lost all of its events, so such a handler is not registered.
    if (wanted == ACE_Event_Handler::NULL_MASK) {
      RemoveFromReactor(*handler);
      return;
    }
    if (registered == ACE_Event_Handler::NULL_MASK) {
      const int added = reactor_.register_handler(handler.get(), wanted);
      WS_INVARIANT(added == 0) << "the reactor accepts the descriptor";
      return;
    }
    if (const ACE_Reactor_Mask dropped = registered & ~wanted; dropped != 0) {
      reactor_.cancel_wakeup(handler.get(), dropped);
    }
    if (const ACE_Reactor_Mask added = wanted & ~registered; added != 0) {
      reactor_.schedule_wakeup(handler.get(), added);
    }
  }

  void Unwatch(int descriptor) {
    const auto found = handlers_.find(descriptor);
    if (found == handlers_.end()) {
      return;
    }
    if (found->second->interest() != Interest{}) {
      RemoveFromReactor(*found->second);
    }
    found->second->Detach();
    // The reactor may be inside a call to the handler, so it is destroyed
    // later.
    retired_.push_back(std::move(found->second));
    handlers_.erase(found);
  }

  TimerId RunAt(common::Time when,
                std::function<void()> task,
                const char* activity) {
    const TimerId id = next_timer_++;
    timers_.emplace(std::make_pair(when, id),
                    Task{.run = std::move(task), .activity = activity});
    due_times_.emplace(id, when);
    return id;
  }

  void Cancel(TimerId timer) {
    const auto found = due_times_.find(timer);
    if (found == due_times_.end()) {
      return;
    }
    timers_.erase({found->second, timer});
    due_times_.erase(found);
  }

  void Post(std::function<void()> task, const char* activity) {
    posted_.push_back({.run = std::move(task), .activity = activity});
  }

  common::Duration BusyFor() { return clock_.meter().BusyFor(BootTime()); }
  void ObserveBusyPeriods(common::Duration min_length,
                          std::function<void(const BusyPeriod&)> observer) {
    clock_.meter().Observe(min_length, std::move(observer));
  }

  void OnSignal(int signal, std::function<void()> handler) {
    signal_handlers_.push_back(
        std::make_unique<SignalHandler>(std::move(handler)));
    const int added =
        reactor_.register_handler(signal, signal_handlers_.back().get());
    WS_INVARIANT(added != -1) << "the reactor accepts the signal";
  }

  void Run() {
    stopped_ = false;
    while (!stopped_) {
      ACE_Time_Value wait = WaitTime();
      clock_.meter().OnWait(BootTime());
      reactor_.handle_events(wait);
      clock_.meter().OnWaitEnded(BootTime());
      for (size_t i = 0; i < signal_handlers_.size(); ++i) {
        signal_handlers_[i]->RunIfPending();
      }
      RunDueTimers();
      RunPosted();
      retired_.clear();
    }
  }

  void Stop() { stopped_ = true; }

 private:
  struct Task {
    std::function<void()> run;
    const char* activity;
  };

  void RemoveFromReactor(DescriptorHandler& handler) {
    reactor_.remove_handler(&handler, ACE_Event_Handler::ALL_EVENTS_MASK |
                                          ACE_Event_Handler::DONT_CALL);
  }

  ACE_Time_Value WaitTime() const {
    if (!posted_.empty()) {
      return ACE_Time_Value::zero;
    }
    common::Duration wait = kMaxWait;
    if (!timers_.empty()) {
      wait = std::min(wait, timers_.begin()->first.first - BootTime());
    }
    wait = std::max(wait, common::Duration::zero());
    // Rounded up because the kernel waits in whole milliseconds: a wait that
    // ends before the timer is due would make the loop spin.
    return ACE_Time_Value(std::chrono::ceil<std::chrono::milliseconds>(wait));
  }

  void RunDueTimers() {
    const common::Time now = BootTime();
    while (!timers_.empty() && timers_.begin()->first.first <= now) {
      const auto first = timers_.begin();
      const Task task = std::move(first->second);
      due_times_.erase(first->first.second);
      timers_.erase(first);
      clock_.Measure(task.activity, task.run);
    }
  }

  void RunPosted() {
    std::vector<Task> tasks;
    tasks.swap(posted_);
    for (const Task& task : tasks) {
      clock_.Measure(task.activity, task.run);
    }
  }

  ACE_Reactor reactor_;
  LoopClock clock_;
  std::unordered_map<int, std::unique_ptr<DescriptorHandler>> handlers_;
  // Unregistered handlers that the reactor may still be calling; destroyed at
  // the end of the loop's iteration.
  std::vector<std::unique_ptr<DescriptorHandler>> retired_;
  std::vector<std::unique_ptr<SignalHandler>> signal_handlers_;
  std::map<std::pair<common::Time, TimerId>, Task> timers_;
  std::unordered_map<TimerId, common::Time> due_times_;
  TimerId next_timer_ = 1;
  std::vector<Task> posted_;
  bool stopped_ = false;
};

EventLoop::EventLoop() : impl_(std::make_unique<Impl>()) {}

EventLoop::~EventLoop() = default;

common::Time EventLoop::Now() const {
  return BootTime();
}

void EventLoop::Watch(int descriptor, Watcher* watcher, Interest interest) {
  impl_->Watch(descriptor, watcher, interest);
}

void EventLoop::Unwatch(int descriptor) {
  impl_->Unwatch(descriptor);
}

TimerId EventLoop::RunAt(common::Time when,
                         std::function<void()> task,
                         const char* activity) {
  return impl_->RunAt(when, std::move(task), activity);
}

void EventLoop::Every(common::Duration period,
                      std::function<void()> task,
                      const char* activity) {
  RunAfter(
      period,
      [this, period, task = std::move(task), activity] {
        task();
        Every(period, task, activity);
      },
      activity);
}

void EventLoop::Cancel(TimerId timer) {
  impl_->Cancel(timer);
}

void EventLoop::Post(std::function<void()> task, const char* activity) {
  impl_->Post(std::move(task), activity);
}

common::Duration EventLoop::busy_for() const {
  return impl_->BusyFor();
}

void EventLoop::ObserveBusyPeriods(
    common::Duration min_length,
    std::function<void(const BusyPeriod&)> observer) {
  impl_->ObserveBusyPeriods(min_length, std::move(observer));
}

void EventLoop::OnSignal(int signal, std::function<void()> handler) {
  impl_->OnSignal(signal, std::move(handler));
}

void EventLoop::Run() {
  impl_->Run();
}

void EventLoop::Stop() {
  impl_->Stop();
}

}  // namespace wagtailshore::event_loop
