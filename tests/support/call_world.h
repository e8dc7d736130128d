#ifndef SUPPORT_CALL_WORLD_H_
#define SUPPORT_CALL_WORLD_H_

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/claims/claim_row.h"
#include "support/call_ledger.h"
#include "support/event_queue.h"
#include "support/fake_table.h"
#include "support/fault_plan.h"

namespace wagtailshore::test_support {

struct CallWorldOptions {
  uint64_t seed = 1;
  FaultRates rates;
  int domains = 3;
  int entries = 6;
  int endpoints = 3;
  // Endpoints that an entry tries for one request.
  uint32_t max_attempts = 3;
};

// A process of ours on the virtual clock. Process n is in the failure domain
// n modulo the number of failure domains.
struct Process {
  int domain = 0;
  // Grows with each restart; what was meant for an older one is lost.
  uint64_t incarnation = 1;
  bool alive = true;
  common::Time paused_until{};
};

// Entries, endpoint processes with a service each, callers and the platform's
// table on a virtual clock. The classes below it add the decision code.
class CallWorld {
 public:
  explicit CallWorld(const CallWorldOptions& options);
  virtual ~CallWorld() = default;
  CallWorld(const CallWorld&) = delete;
  CallWorld& operator=(const CallWorld&) = delete;

  // A caller sends a request through an entry; returns the sending's number.
  size_t Submit(int entry, const CallKey& key, common::Duration timeout);

  void KillEntry(int entry);
  void RestartEntry(int entry);
  void PauseEntry(int entry, common::Duration time);
  void KillEndpoint(int endpoint) { endpoints_[endpoint].alive = false; }
  void RestartEndpoint(int endpoint);
  void PauseEndpoint(int endpoint, common::Duration time);
  void ResumeEndpoint(int endpoint);
  // A draining endpoint refuses whatever arrives.
  void SetDraining(int endpoint, bool draining) {
    draining_[endpoint] = draining;
  }
  // The next `count` calls run and their answers are lost.
  void LoseServiceAnswers(int count) { service_answers_to_lose_ += count; }
  // The next message arrives later by `time`.
  void DelayNextMessage(common::Duration time) { next_delay_ = time; }
  // A second copy of the next message follows after `time`.
  void DoubleNextMessage(common::Duration time) { next_copy_after_ = time; }
  void set_service_time(common::Duration time) { service_time_ = time; }

  EventQueue& events() { return events_; }
  FaultPlan& faults() { return faults_; }
  FakeTable& table() { return table_; }
  CallLedger& ledger() { return ledger_; }
  int domains() const { return domains_; }
  int entries() const { return static_cast<int>(entries_.size()); }
  int endpoints() const { return static_cast<int>(endpoints_.size()); }

 protected:
  // An entry takes a sending up.
  virtual void StartSending(int entry, size_t sending) = 0;
  // An endpoint process begins anew, with nothing in memory.
  virtual void OnEndpointStarted(int endpoint) = 0;

  common::Time now() const { return events_.now(); }
  Process& entry(int number) { return entries_[number]; }
  Process& endpoint(int number) { return endpoints_[number]; }
  bool draining(int endpoint) const { return draining_[endpoint]; }

  // `action`, held back while `process` pauses and dropped if it has died.
  std::function<void()> Guard(Process& process, std::function<void()> action);
  // The same for a table operation's outcome.
  template <typename Outcome>
  std::function<void(Outcome)> GuardOutcome(
      Process& process,
      std::function<void(const Outcome&)> action) {
    return [this, &process, incarnation = process.incarnation,
            action = std::move(action)](const Outcome& outcome) {
      RunGuarded(process, incarnation, [action, outcome] { action(outcome); });
    };
  }
  // Carries a message over; it may be lost, late or doubled.
  void Send(int from_domain,
            int to_domain,
            const std::function<void()>& deliver);
  // Has the service beside an endpoint run a call, for at most `timeout`.
  void CallService(int endpoint,
                   size_t sending,
                   common::Duration timeout,
                   const std::function<void(claims::ServiceAnswer)>& on_answer,
                   const std::function<void()>& on_silence);
  // A new token for table writes.
  std::string NewToken();

 private:
  void Restart(Process& process);
  // Nothing is owed any more to what an entry has under way.
  void ExcuseAll(int entry);
  void Deliver(int from_domain,
               int to_domain,
               common::Duration delay,
               const std::function<void()>& deliver);
  void RunGuarded(Process& process,
                  uint64_t incarnation,
                  const std::function<void()>& action);

  EventQueue events_;
  FaultPlan faults_;
  FakeTable table_;
  CallLedger ledger_;
  int domains_;
  std::vector<Process> entries_;
  std::vector<Process> endpoints_;
  std::vector<bool> draining_;
  // The entry that took up each sending.
  std::vector<int> entry_of_sending_;
  int service_answers_to_lose_ = 0;
  common::Duration service_time_ = common::milliseconds(50);
  uint64_t next_token_ = 1;
  common::Duration next_delay_{};
  std::optional<common::Duration> next_copy_after_;
};

}  // namespace wagtailshore::test_support

#endif  // SUPPORT_CALL_WORLD_H_
