#include "support/call_world.h"

#include <memory>
#include <utility>

#include "common/strings.h"

namespace wagtailshore::test_support {

CallWorld::CallWorld(const CallWorldOptions& options)
    : faults_(options.seed, options.rates),
      table_(events_, faults_),
      domains_(options.domains),
      entries_(options.entries),
      endpoints_(options.endpoints),
      draining_(options.endpoints) {
  for (size_t i = 0; i < entries_.size(); ++i) {
    entries_[i].domain = static_cast<int>(i) % domains_;
  }
  for (size_t i = 0; i < endpoints_.size(); ++i) {
    endpoints_[i].domain = static_cast<int>(i) % domains_;
  }
}

size_t CallWorld::Submit(int entry,
                         const CallKey& key,
                         common::Duration timeout) {
  const size_t submission = ledger_.Submit(key, now() + timeout);
  entry_of_submission_.push_back(entry);
  Process& process = entries_[entry];
  if (!process.alive || now() < process.paused_until) {
    ledger_.WaiveAnswer(submission);
  }
  Guard(process,
        [this, entry, submission] { StartSubmission(entry, submission); })();
  return submission;
}

void CallWorld::WaiveAnswers(int entry) {
  for (size_t i = 0; i < entry_of_submission_.size(); ++i) {
    if (entry_of_submission_[i] == entry &&
        !ledger_.submissions()[i].answer.has_value()) {
      ledger_.WaiveAnswer(i);
    }
  }
}

void CallWorld::KillEntry(int entry) {
  entries_[entry].alive = false;
  WaiveAnswers(entry);
}

void CallWorld::RestartEntry(int entry) {
  WaiveAnswers(entry);
  Restart(entries_[entry]);
}

void CallWorld::PauseEntry(int entry, common::Duration time) {
  entries_[entry].paused_until = now() + time;
  WaiveAnswers(entry);
}

void CallWorld::Restart(Process& process) {
  ++process.incarnation;
  process.alive = true;
  process.paused_until = {};
}

void CallWorld::RestartEndpoint(int endpoint) {
  Restart(endpoints_[endpoint]);
  draining_[endpoint] = false;
  OnEndpointStarted(endpoint);
}

void CallWorld::PauseEndpoint(int endpoint, common::Duration time) {
  endpoints_[endpoint].paused_until = now() + time;
}

void CallWorld::ResumeEndpoint(int endpoint) {
  endpoints_[endpoint].paused_until = now();
}

std::function<void()> CallWorld::Guard(Process& process,
                                       std::function<void()> action) {
  return [this, &process, incarnation = process.incarnation,
          action = std::move(action)] {
    RunGuarded(process, incarnation, action);
  };
}

void CallWorld::RunGuarded(Process& process,
                           uint64_t incarnation,
                           const std::function<void()>& action) {
  if (!process.alive || process.incarnation != incarnation) {
    return;
  }
  if (now() >= process.paused_until) {
    action();
    return;
  }
  // Checks again in steps, because ResumeEndpoint may end the pause early.
  const common::Duration left = process.paused_until - now();
  events_.After(std::min<common::Duration>(left, common::milliseconds(50)),
                [this, &process, incarnation, action] {
                  RunGuarded(process, incarnation, action);
                });
}

void CallWorld::Send(int from_domain,
                     int to_domain,
                     const std::function<void()>& deliver) {
  const common::Duration delay = std::exchange(next_delay_, {});
  if (const auto after = std::exchange(next_copy_after_, std::nullopt)) {
    Deliver(from_domain, to_domain, *after, deliver);
  }
  const int copies =
      faults_.Happens(faults_.rates().message_duplicated) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    Deliver(from_domain, to_domain, delay, deliver);
  }
}

void CallWorld::Deliver(int from_domain,
                        int to_domain,
                        common::Duration delay,
                        const std::function<void()>& deliver) {
  if (!faults_.Connected(from_domain, to_domain) ||
      faults_.Happens(faults_.rates().message_lost)) {
    return;
  }
  events_.After(delay + faults_.Delay(faults_.rates().message_delayed),
                [this, from_domain, to_domain, deliver] {
                  if (faults_.Connected(from_domain, to_domain)) {
                    deliver();
                  }
                });
}

void CallWorld::CallService(
    int endpoint,
    size_t submission,
    common::Duration timeout,
    const std::function<void(claims::ServiceAnswer)>& on_answer,
    const std::function<void()>& on_timeout) {
  const std::string body = ledger_.OnRun(submission, now());
  const bool lost =
      (service_answers_to_lose_ > 0 && service_answers_to_lose_-- > 0) ||
      faults_.Happens(faults_.rates().service_answer_lost);
  Process& process = endpoints_[endpoint];
  if (lost || service_time_ > timeout) {
    events_.After(timeout, Guard(process, on_timeout));
    return;
  }
  events_.After(service_time_, Guard(process, [on_answer, body] {
                  on_answer({.status = 200, .body = body});
                }));
}

std::string CallWorld::NewToken() {
  return common::StrCat("token-", next_token_++);
}

}  // namespace wagtailshore::test_support
