#ifndef SUPPORT_ROLLOUT_WORLD_H_
#define SUPPORT_ROLLOUT_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "common/time.h"
#include "coordination/dissemination/member.h"
#include "coordination/draining/drain_gate.h"
#include "coordination/membership/leaving_view.h"
#include "coordination/rollout/submission.h"

// Simulates the dissemination of manifests and membership with the production
// decision code, a fake network, a fake platform and a virtual clock. Checks
// the guarantees of the roll-out and records the first violation.
namespace wagtailshore::test_support {

struct WorldOptions {
  uint64_t seed = 1;
  int failure_domains = 3;
  int entries_per_domain = 2;
  int endpoints_per_domain = 3;
  // See PlannerOptions. With 0 every process communicates only within its own
  // failure domain.
  size_t direct_limit = 48;
  // Share of messages that are always lost, 0 to 1. SetLoss can raise it.
  double loss = 0.01;
  // Text appended to every manifest body, to measure with larger manifests.
  std::string padding;
  // Whether to check the guarantees while running. Off for measurements.
  bool checks = true;
  // Delay before a leaving endpoint appears in the platform's instance list.
  common::Duration list_lag = common::seconds(30);
};

enum class SubmitResult { kNone, kAccepted, kConflict, kUnknown };

// An operator's submission and its result.
struct Submit {
  uint64_t base_version = 0;
  std::string digest;
  std::string token;
  SubmitResult result = SubmitResult::kNone;
  // The accepted version, or the current version on a conflict.
  uint64_t version = 0;
  // On a conflict, the digest of the current manifest.
  std::string current_digest;
};

struct Process {
  std::string name;
  std::string address;
  std::string failure_domain;
  membership::Role role = membership::Role::kEntry;
  // Changes with each start and kill. Events of an earlier incarnation are
  // dropped.
  uint64_t incarnation = 0;
  bool running = false;
  common::Time started{};
  std::unique_ptr<dissemination::Member> member;
  // Peer addresses with an exchange in progress.
  std::set<std::string> busy;
  uint64_t version_seen = 0;
  // When each version came into force in this incarnation.
  std::map<uint64_t, common::Time> in_force;
  // The leaving endpoints known to this entry.
  membership::LeavingView leaving_view;
  // Refuses new work once this endpoint leaves.
  draining::DrainGate gate;
  // When this endpoint received the signal to leave.
  std::optional<common::Time> leaving_since;
  // When this endpoint last refused work as not run because it leaves.
  std::optional<common::Time> last_refused;
  // When this endpoint last started work.
  std::optional<common::Time> last_begun;
  uint64_t bytes_sent = 0;
  uint64_t bytes_received = 0;
};

class RolloutWorld {
 public:
  explicit RolloutWorld(WorldOptions options);

  common::Time now() const { return now_; }
  common::Duration SinceStart(common::Time time) const { return time - kStart; }
  // Runs all events up to `since_start` after the start of the simulation.
  void AdvanceTo(common::Duration since_start);
  void Advance(common::Duration by) { AdvanceTo(now_ - kStart + by); }

  // Faults. Each lasts until it is reverted.
  void Cut(const std::string& failure_domain) { SetCut(failure_domain, true); }
  void Heal(const std::string& failure_domain) {
    SetCut(failure_domain, false);
  }
  void SetStoreDown(bool down);
  void SetStoreDelay(common::Duration delay) { store_delay_ = delay; }
  // Loses the answers to the next `count` writes, which still take effect.
  void LoseWriteAnswers(int count) { lost_write_answers_ = count; }
  void SetLoss(double share);
  void Kill(const std::string& name);
  void Start(const std::string& name);
  void Leave(const std::string& name);
  // Loses all messages from process `name` for `duration`.
  void Mute(const std::string& name, common::Duration duration);

  // Submits a manifest based on version `base` (by default the newest) at the
  // entry `name`. Calls with the same `identity` repeat the same submission.
  std::shared_ptr<Submit> SubmitAt(const std::string& name,
                                   std::optional<uint64_t> base,
                                   const std::string& identity);

  Process& process(const std::string& name) { return processes_.at(name); }
  std::map<std::string, Process>& processes() { return processes_; }
  uint64_t store_version() const { return row_.version; }
  uint64_t store_reads() const { return store_reads_; }
  // When each version was accepted.
  const std::map<uint64_t, common::Time>& accepted() const { return accepted_; }
  // Returns the encoded size of a message in bytes. When set, traffic is
  // counted.
  std::function<size_t(const dissemination::Message&)> wire_size;
  // Returns the first violated guarantee, or an empty string.
  const std::string& first_violation() const { return first_violation_; }

 private:
  static constexpr common::Time kStart{common::seconds(1000)};

  void AddProcess(const std::string& failure_domain,
                  membership::Role role,
                  int index);
  void After(common::Duration delay, std::function<void()> event);
  // Runs `event` after `delay` if `process` still has the same incarnation.
  void AfterFor(Process& process,
                common::Duration delay,
                std::function<void()> event);
  void Tick(Process& process);
  void Execute(Process& process, const dissemination::Effects& effects);
  // Sends work from an entry to every endpoint that it does not know to be
  // leaving.
  void SendWork(Process& entry);
  void SendWorkTo(const Process& entry, Process& endpoint);
  std::set<std::string> ListedAsLeaving() const;
  void Send(Process& from, const dissemination::SendExchange& send);
  void Deliver(Process& to,
               Process& from,
               const dissemination::Message& request,
               common::Time sent);
  void ReadPlatform(Process& process);
  void FinishRead(Process& process, uint64_t version);
  void RunSubmit(Process& process,
                 const std::shared_ptr<rollout::Submission>& submission,
                 const std::shared_ptr<Submit>& submit,
                 const rollout::SubmissionAction& action);
  table::WriteOutcome Write(const table::WriteRow& write);

  // Whether messages from the process were lost by Mute at some time in the
  // last `within`.
  bool WasMuted(const Process& process, common::Duration within) const;
  // Whether no fault prevents the entries from receiving messages from
  // `endpoint`.
  bool IsQuiet(const Process& endpoint) const;
  // Whether relays deliver the state of `endpoint` to `entry` in another
  // failure domain.
  bool RelaysAreSettled(const Process& entry, const Process& endpoint) const;
  bool IsCutApart(const Process& left, const Process& right) const;
  bool ReachesStore(const Process& process) const;
  bool Lost(const Process& from, const Process& to);
  common::Duration Latency();
  void SetCut(const std::string& failure_domain, bool cut);
  // Restarts the fault-free time of a failure domain.
  void ResetQuietTime(const std::string& failure_domain);
  void Count(Process& from, Process& to, const dissemination::Message& message);

  void CheckProcess(Process& process);
  void CheckTimes();
  bool HasEntry(const std::string& failure_domain) const;
  void CheckDomain(const std::string& failure_domain);
  void RecordViolation(const std::string& what);

  WorldOptions options_;
  std::mt19937_64 random_;
  common::Time now_ = kStart;
  std::multimap<common::Time, std::function<void()>> events_;
  std::map<std::string, Process> processes_;
  std::map<std::string, Process*> by_address_;
  std::set<std::string> cut_;
  std::map<std::string, common::Time> muted_until_;
  // By failure domain: since when no fault affects the exchanges inside it, and
  // those with the platform and the other failure domains.
  std::map<std::string, common::Time> inside_quiet_since_;
  std::map<std::string, common::Time> outside_quiet_since_;
  common::Time last_entry_kill_ = kStart;
  double loss_;

  table::Row row_;
  bool store_down_ = false;
  common::Duration store_delay_ = common::milliseconds(2);
  int lost_write_answers_ = 0;
  uint64_t store_reads_ = 0;
  std::map<std::string, std::string> bodies_;
  std::map<uint64_t, dissemination::ManifestPtr> versions_;
  std::map<uint64_t, common::Time> accepted_;
  std::map<uint64_t, std::string> tokens_;
  std::string first_violation_;
};

}  // namespace wagtailshore::test_support

#endif  // SUPPORT_ROLLOUT_WORLD_H_
