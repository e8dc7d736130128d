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

// Processes that spread manifests and membership, each the real decision code,
// over a faked network and platform and under a virtual clock. Holds the
// promises of the roll-out against what happens and keeps the first breach.
namespace wagtailshore::test_support {

struct WorldOptions {
  uint64_t seed = 1;
  int failure_domains = 3;
  int entries_per_domain = 2;
  int endpoints_per_domain = 3;
  // See PlannerOptions; 0 keeps every process to its own failure domain.
  size_t direct_limit = 48;
  // Share of messages lost all the time.
  double loss = 0.01;
  // Text added to every manifest, to measure with its size.
  std::string padding;
  // Whether to hold the promises against every step; off for measurements.
  bool checks = true;
  // Time by which the platform's instance list lags.
  common::Duration list_lag = common::seconds(30);
};

enum class SubmitResult { kNone, kAccepted, kConflict, kUnknown };

// One operator's submission and what it was told.
struct Submit {
  uint64_t base_version = 0;
  std::string digest;
  std::string token;
  SubmitResult result = SubmitResult::kNone;
  // The accepted version, or the winner's.
  uint64_t version = 0;
  std::string winner;
};

struct Process {
  std::string name;
  std::string address;
  std::string failure_domain;
  membership::Role role = membership::Role::kEntry;
  // Counts the process' lives; events of an earlier life are void.
  uint64_t life = 0;
  bool running = false;
  common::Time started{};
  std::unique_ptr<dissemination::Member> member;
  // Addresses with an exchange under way.
  std::set<std::string> busy;
  uint64_t version_seen = 0;
  // When each version came into force in this life.
  std::map<uint64_t, common::Time> in_force;
  // What this entry knows of leaving endpoints.
  membership::LeavingView leaving_view;
  // Refuses new work once this endpoint leaves.
  draining::DrainGate gate;
  // When this endpoint got the signal to leave.
  std::optional<common::Time> leaving_since;
  // When it last refused work as not run because of that.
  std::optional<common::Time> last_refused;
  // When this endpoint last began work.
  std::optional<common::Time> last_begun;
  uint64_t bytes_sent = 0;
  uint64_t bytes_received = 0;
};

class RolloutWorld {
 public:
  explicit RolloutWorld(WorldOptions options);

  common::Time now() const { return now_; }
  common::Duration SinceStart(common::Time time) const { return time - kStart; }
  void AdvanceTo(common::Duration since_start);
  void Advance(common::Duration by) { AdvanceTo(now_ - kStart + by); }

  // Faults, each until undone.
  void Cut(const std::string& failure_domain) { SetCut(failure_domain, true); }
  void Heal(const std::string& failure_domain) {
    SetCut(failure_domain, false);
  }
  void SetStoreDown(bool down);
  void SetStoreDelay(common::Duration delay) { store_delay_ = delay; }
  // The next `count` writes take effect and their answers are lost.
  void LoseWriteAnswers(int count) { lost_write_answers_ = count; }
  void SetLoss(double share);
  void Kill(const std::string& name);
  void Start(const std::string& name);
  void Leave(const std::string& name);
  // Loses everything that `name` says for `duration`.
  void Mute(const std::string& name, common::Duration duration);

  // Submits a manifest on `base` (the newest version by default) at the entry
  // `name`; the same `identity` is the same submission.
  std::shared_ptr<Submit> SubmitAt(const std::string& name,
                                   std::optional<uint64_t> base,
                                   const std::string& identity);

  Process& process(const std::string& name) { return processes_.at(name); }
  std::map<std::string, Process>& processes() { return processes_; }
  uint64_t store_version() const { return row_.version; }
  uint64_t store_reads() const { return store_reads_; }
  // When each version was accepted.
  const std::map<uint64_t, common::Time>& accepted() const { return accepted_; }
  // Size of a message on the wire; counted when set.
  std::function<size_t(const dissemination::Message&)> wire_size;
  // The first promise broken, or empty.
  const std::string& breach() const { return breach_; }

 private:
  static constexpr common::Time kStart{common::seconds(1000)};

  void AddProcess(const std::string& failure_domain,
                  membership::Role role,
                  int index);
  void After(common::Duration delay, std::function<void()> event);
  // Runs `event` if `process` still lives the same life then.
  void AfterFor(Process& process,
                common::Duration delay,
                std::function<void()> event);
  void Tick(Process& process);
  void Execute(Process& process, const dissemination::Effects& effects);
  // Has an entry send work to some endpoint that it does not know to leave.
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

  // Whether the process was cut off from all others in the time `within`.
  bool WasMuted(const Process& process, common::Duration within) const;
  // Whether nothing keeps the entries from hearing `endpoint`.
  bool IsQuiet(const Process& endpoint) const;
  // Whether word of `endpoint` gets to `entry` of another failure domain.
  bool RelaysAreSettled(const Process& entry, const Process& endpoint) const;
  bool IsCutApart(const Process& left, const Process& right) const;
  bool ReachesStore(const Process& process) const;
  bool Lost(const Process& from, const Process& to);
  common::Duration Latency();
  void SetCut(const std::string& failure_domain, bool cut);
  void Disturb(const std::string& failure_domain);
  void Count(Process& from, Process& to, const dissemination::Message& message);

  void CheckProcess(Process& process);
  void CheckTimes();
  bool HasEntry(const std::string& failure_domain) const;
  void CheckDomain(const std::string& failure_domain);
  void Breach(const std::string& what);

  WorldOptions options_;
  std::mt19937_64 random_;
  common::Time now_ = kStart;
  std::multimap<common::Time, std::function<void()>> events_;
  std::map<std::string, Process> processes_;
  std::map<std::string, Process*> by_address_;
  std::set<std::string> cut_;
  std::map<std::string, common::Time> muted_until_;
  // Since when nothing keeps a domain's processes from each other, and from
  // the platform and the other domains.
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
  std::string breach_;
};

}  // namespace wagtailshore::test_support

#endif  // SUPPORT_ROLLOUT_WORLD_H_
