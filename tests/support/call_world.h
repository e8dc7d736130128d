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
  // Limit on the endpoints that an entry tries for one request.
  uint32_t max_attempts = 3;
};

// A simulated entry or endpoint process. Process n is in failure domain n
// modulo the number of failure domains.
struct Process {
  int domain = 0;
  // Increases with each restart. Events for an earlier incarnation are dropped.
  uint64_t incarnation = 1;
  bool alive = true;
  common::Time paused_until{};
};

// Simulates entries, endpoints with one service each, callers and the
// platform's table on a virtual clock. Subclasses add the decision code.
class CallWorld {
 public:
  explicit CallWorld(const CallWorldOptions& options);
  virtual ~CallWorld() = default;
  CallWorld(const CallWorld&) = delete;
  CallWorld& operator=(const CallWorld&) = delete;

  // Submits a request through an entry. Returns the submission's index in the
  // ledger.
  size_t Submit(int entry, const CallKey& key, common::Duration timeout);

  void KillEntry(int entry);
  void RestartEntry(int entry);
  void PauseEntry(int entry, common::Duration time);
  void KillEndpoint(int endpoint) { endpoints_[endpoint].alive = false; }
  void RestartEndpoint(int endpoint);
  void PauseEndpoint(int endpoint, common::Duration time);
  void ResumeEndpoint(int endpoint);
  // A draining endpoint refuses all calls.
  void SetDraining(int endpoint, bool draining) {
    draining_[endpoint] = draining;
  }
  // Loses the answers to the next `count` service calls, which still run.
  void LoseServiceAnswers(int count) { service_answers_to_lose_ += count; }
  // Delays the next message by `time`.
  void DelayNextMessage(common::Duration time) { next_delay_ = time; }
  // Delivers a second copy of the next message after `time`.
  void DuplicateNextMessage(common::Duration time) { next_copy_after_ = time; }
  void set_service_time(common::Duration time) { service_time_ = time; }

  EventQueue& events() { return events_; }
  FaultPlan& faults() { return faults_; }
  FakeTable& table() { return table_; }
  CallLedger& ledger() { return ledger_; }
  int domains() const { return domains_; }
  int entries() const { return static_cast<int>(entries_.size()); }
  int endpoints() const { return static_cast<int>(endpoints_.size()); }

 protected:
  // Starts to process a submission at an entry.
  virtual void StartSubmission(int entry, size_t submission) = 0;
  // Called when an endpoint process starts, with no state from its previous
  // incarnation.
  virtual void OnEndpointStarted(int endpoint) = 0;

  common::Time now() const { return events_.now(); }
  Process& entry(int number) { return entries_[number]; }
  Process& endpoint(int number) { return endpoints_[number]; }
  bool draining(int endpoint) const { return draining_[endpoint]; }

  // Wraps `action` so that it is deferred while `process` is paused, and
  // dropped if the process has been killed or restarted.
  std::function<void()> Guard(Process& process, std::function<void()> action);
  // Same as Guard, for the outcome of a table operation.
  template <typename Outcome>
  std::function<void(Outcome)> GuardOutcome(
      Process& process,
      std::function<void(const Outcome&)> action) {
    return [this, &process, incarnation = process.incarnation,
            action = std::move(action)](const Outcome& outcome) {
      RunGuarded(process, incarnation, [action, outcome] { action(outcome); });
    };
  }
  // Sends a message, which may be lost, delayed or duplicated.
  void Send(int from_domain,
            int to_domain,
            const std::function<void()>& deliver);
  // Runs a call at the endpoint's service. Calls `on_timeout` when no answer
  // arrives within `timeout`.
  void CallService(int endpoint,
                   size_t submission,
                   common::Duration timeout,
                   const std::function<void(claims::ServiceAnswer)>& on_answer,
                   const std::function<void()>& on_timeout);
  // Returns a unique token for a table write.
  std::string NewToken();

 private:
  void Restart(Process& process);
  // No longer requires answers to the submissions in progress at an entry.
  void WaiveAnswers(int entry);
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
  // The entry of each submission.
  std::vector<int> entry_of_submission_;
  int service_answers_to_lose_ = 0;
  common::Duration service_time_ = common::milliseconds(50);
  uint64_t next_token_ = 1;
  common::Duration next_delay_{};
  std::optional<common::Duration> next_copy_after_;
};

}  // namespace wagtailshore::test_support

#endif  // SUPPORT_CALL_WORLD_H_
