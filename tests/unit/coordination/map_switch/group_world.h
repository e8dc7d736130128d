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

// One group of ranks under a virtual clock: the real decision code, fake
// engines that step in lock-step, and a network with faults.
namespace wagtailshore::map_switch {

// Faults of the messages between processes, and of orders and answers between
// a process and its engine.
struct LinkFaults {
  // Shares of all messages, in percent.
  int lost = 0;
  int doubled = 0;
  // Each message takes from 1 ms to this long.
  common::Duration max_delay = common::milliseconds(1);
  // Share, in percent, that takes a hundred times as long.
  int late = 0;
};

struct GroupOptions {
  int ranks = 4;
  bool checks_fencing = true;
  uint64_t seed = 1;
};

class GroupWorld {
 public:
  explicit GroupWorld(const GroupOptions& options);

  void AdvanceTo(common::Time until);
  common::Time now() const { return now_; }

  // The rank's process proposes the next map, of a content of its own.
  // Nothing happens when the process is down, not ready or proposing.
  void Propose(int rank);
  // The rank's engine starts no step until then.
  void Stall(int rank, common::Time until);
  // Ends the rank's process without warning. As a zombie it is not ended:
  // it goes on beside the next one.
  void Kill(int rank, bool as_zombie);
  // Starts a new process for the rank; no effect while one runs.
  void Start(int rank);
  void EndZombies();
  // Messages between the two ranks are lost; ending it needs EndCuts.
  void Cut(int a, int b);
  void EndCuts();
  // Loads at this rank fail.
  void FailLoads(int rank, bool fail);
  // While the weight store is down, no load ends.
  void SetWeightStore(bool up);
  void SetPeerFaults(const LinkFaults& faults) { peer_faults_ = faults; }
  void SetEngineFaults(const LinkFaults& faults) { engine_faults_ = faults; }

  // What was broken first: two maps in one step, or two for one version.
  const std::string& violation() const { return violation_; }
  uint64_t lowest_step() const;
  // The lowest map version that an engine uses.
  uint64_t lowest_version() const;
  uint64_t highest_version() const;
  // Promises that are not settled, over all engines.
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

  void At(common::Time time, std::function<void()> event);
  common::Duration Delay(const LinkFaults& faults);
  bool Percent(int share);
  // Runs `deliver` once, twice, late or never.
  void Transmit(const LinkFaults& faults, const std::function<void()>& deliver);
  void TickProcess(const ProcessPtr& process);
  bool Runs(const ProcessPtr& process) const;
  void Carry(const ProcessPtr& process, const Actions& actions);
  void Carry(const ProcessPtr& process, const std::vector<Outgoing>& messages);
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
  std::set<std::pair<int, int>> cuts_;
  std::set<int> failing_loads_;
  bool weight_store_up_ = true;
  LinkFaults peer_faults_;
  LinkFaults engine_faults_;
  uint64_t next_fencing_number_ = 1;
  uint64_t next_map_ = 1;
  // The map of each step not yet started by all, and of each version.
  std::map<uint64_t, MapId> step_maps_;
  std::map<uint64_t, std::string> version_digests_;
  std::string violation_;
};

}  // namespace wagtailshore::map_switch

#endif  // UNIT_COORDINATION_MAP_SWITCH_GROUP_WORLD_H_
