#ifndef UNIT_COORDINATION_MAP_SWITCH_GROUP_WORLD_H_
#define UNIT_COORDINATION_MAP_SWITCH_GROUP_WORLD_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/map_switch/participant.h"
#include "coordination/map_switch/proposer.h"
#include "support/lockstep_engine.h"

// Simulates one group of ranks on a virtual clock: the real decision code, fake
// engines that run in lock-step, and a network with faults.
namespace wagtailshore::map_switch {

// Faults of messages between processes, or of orders and answers between a
// process and its engine.
struct LinkFaults {
  // Shares of all messages, in percent.
  int lost_percent = 0;
  int duplicated_percent = 0;
  // Each message takes from 1 ms to this long.
  common::Duration max_delay = common::milliseconds(1);
  // Share of messages, in percent, that take a hundred times as long.
  int late_percent = 0;
};

struct GroupOptions {
  int ranks = 4;
  bool checks_fencing = true;
  uint64_t seed = 1;
};

class GroupSimulation {
 public:
  explicit GroupSimulation(const GroupOptions& options);

  void AdvanceTo(common::Time until);
  common::Time now() const { return now_; }

  // Makes the rank's process propose the next map, with unique content. No
  // effect if the process is down, not ready or already proposing.
  void Propose(int rank);
  // Keeps the rank's engine from starting a step until `until`.
  void Stall(int rank, common::Time until);
  // Kills the rank's process. With `as_zombie`, the process keeps running
  // beside its successor instead.
  void Kill(int rank, bool as_zombie);
  // Starts a new process for the rank. No effect while one is running.
  void Start(int rank);
  void KillZombies();
  // Drops all messages between the two ranks until RestoreLinks().
  void CutLink(int a, int b);
  void RestoreLinks();
  // Sets whether loads at this rank fail.
  void FailLoads(int rank, bool fail);
  // Sets whether the weight store is up. While it is down, no load ends.
  void SetWeightStore(bool up);
  void SetPeerFaults(const LinkFaults& faults) { peer_faults_ = faults; }
  void SetEngineFaults(const LinkFaults& faults) { engine_faults_ = faults; }

  // The first violation, or empty: two maps in one step, or two for one
  // version.
  const std::string& violation() const { return violation_; }
  uint64_t lowest_step() const;
  // The lowest map version in use by any engine.
  uint64_t lowest_version() const;
  uint64_t highest_version() const;
  // Number of undecided holds at all engines.
  int undecided() const;
  // How the last proposal of the rank's process ended.
  std::optional<ProposalResult> result(int rank) const;

 private:
  struct Process {
    int rank = 0;
    uint64_t fencing_number = 0;
    Participant participant;
    Proposer proposer;
  };
  using ProcessPtr = std::shared_ptr<Process>;

  void ScheduleAt(common::Time time, std::function<void()> event);
  common::Duration Delay(const LinkFaults& faults);
  bool WithProbabilityPercent(int percent);
  // Schedules `deliver` once, twice or not at all, possibly with a long delay.
  void Transmit(const LinkFaults& faults, const std::function<void()>& deliver);
  void TickProcess(const ProcessPtr& process);
  bool IsRunning(const ProcessPtr& process) const;
  void Execute(const ProcessPtr& process, const Actions& actions);
  void Execute(const ProcessPtr& process,
               const std::vector<Outgoing>& messages);
  void Send(const Message& message);
  void Deliver(const Message& message);
  void StepEngines();
  void CheckStep(uint64_t step, const MapId& map);

  GroupOptions options_;
  std::mt19937_64 random_;
  common::Time now_{};
  std::multimap<common::Time, std::function<void()>> events_;
  std::vector<standins::LockstepEngine> engines_;
  std::vector<common::Time> stalled_until_;
  std::vector<ProcessPtr> processes_;
  std::vector<ProcessPtr> zombies_;
  std::set<std::pair<int, int>> cut_links_;
  std::set<int> failing_loads_;
  bool weight_store_up_ = true;
  LinkFaults peer_faults_;
  LinkFaults engine_faults_;
  uint64_t next_fencing_number_ = 1;
  uint64_t next_map_ = 1;
  // The map of each step that not all ranks have started, and the digest of
  // each version.
  std::map<uint64_t, MapId> step_maps_;
  std::map<uint64_t, std::string> version_digests_;
  std::string violation_;
};

}  // namespace wagtailshore::map_switch

#endif  // UNIT_COORDINATION_MAP_SWITCH_GROUP_WORLD_H_
