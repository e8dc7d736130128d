#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

#include "unit/coordination/map_switch/group_world.h"

namespace wagtailshore::map_switch {
namespace {

using common::milliseconds;
using common::seconds;

// Longer than a proposal can take to load, hold and be decided, so that no
// earlier proposal is still in progress.
constexpr seconds kSettleBound{16};
constexpr seconds kSwitchBound{3};
constexpr uint64_t kStepsAfterFaults = 200;

enum class FaultKind {
  kPropose,
  kStall,
  kRestart,
  kZombie,
  kKill,
  kStart,
  kCutLink,
  kRestoreLinks,
  kFailLoads,
  kRestoreLoads,
  kStoreDown,
  kStoreUp,
  kLinks,
  kCount,
};

struct Fault {
  int after_ms = 0;
  FaultKind kind = FaultKind::kPropose;
  int rank = 0;
  int other = 0;
};

std::ostream& operator<<(std::ostream& out, const Fault& fault) {
  return out << "{after " << fault.after_ms << "ms, kind "
             << static_cast<int>(fault.kind) << ", rank " << fault.rank
             << ", other " << fault.other << "}";
}

rc::Gen<Fault> AnyFault(int ranks) {
  const int kinds = static_cast<int>(FaultKind::kCount);
  return rc::gen::build<Fault>(
      // Usually within one proposal, sometimes longer than any timeout.
      rc::gen::set(&Fault::after_ms, rc::gen::weightedOneOf<int>(
                                         {{20, rc::gen::inRange(0, 80)},
                                          {1, rc::gen::inRange(0, 4000)}})),
      // Half of all events are proposals, so that they collide with faults.
      rc::gen::set(&Fault::kind, rc::gen::map(rc::gen::inRange(-kinds, kinds),
                                              [](int kind) {
                                                return static_cast<FaultKind>(
                                                    std::max(kind, 0));
                                              })),
      rc::gen::set(&Fault::rank, rc::gen::inRange(0, ranks)),
      rc::gen::set(&Fault::other, rc::gen::inRange(0, ranks)));
}

// At the highest level, late messages take longer than any order's timeout.
LinkFaults FaultsOfLevel(int level) {
  return {.lost_percent = 6 * level,
          .duplicated_percent = 8 * level,
          .max_delay = milliseconds(1 + 15 * level),
          .late_percent = 3 * level};
}

constexpr int kLevels = 4;

void Execute(const Fault& fault, GroupSimulation& simulation) {
  const bool as_zombie = fault.kind == FaultKind::kZombie;
  switch (fault.kind) {
    case FaultKind::kPropose:
      return simulation.Propose(fault.rank);
    case FaultKind::kStall:
      return simulation.Stall(fault.rank, simulation.now() + milliseconds(500));
    case FaultKind::kRestart:
    case FaultKind::kZombie:
      simulation.Kill(fault.rank, as_zombie);
      return simulation.Start(fault.rank);
    case FaultKind::kKill:
      return simulation.Kill(fault.rank, false);
    case FaultKind::kStart:
      return simulation.Start(fault.rank);
    case FaultKind::kCutLink:
      return simulation.CutLink(fault.rank, fault.other);
    case FaultKind::kRestoreLinks:
      return simulation.RestoreLinks();
    case FaultKind::kFailLoads:
    case FaultKind::kRestoreLoads:
      return simulation.FailLoads(fault.rank,
                                  fault.kind == FaultKind::kFailLoads);
    case FaultKind::kStoreDown:
    case FaultKind::kStoreUp:
      return simulation.SetWeightStore(fault.kind == FaultKind::kStoreUp);
    case FaultKind::kLinks:
      simulation.SetPeerFaults(FaultsOfLevel(fault.rank % kLevels));
      return simulation.SetEngineFaults(FaultsOfLevel(fault.other % kLevels));
    case FaultKind::kCount:
      return;
  }
}

void EndFaults(GroupSimulation& simulation, int ranks) {
  simulation.SetPeerFaults({});
  simulation.SetEngineFaults({});
  simulation.RestoreLinks();
  simulation.KillZombies();
  simulation.SetWeightStore(true);
  for (int rank = 0; rank < ranks; ++rank) {
    simulation.FailLoads(rank, false);
    simulation.Start(rank);
  }
}

RC_GTEST_PROP(MapSwitchProperty, OneMapPerStepAndProgressAfterFaults, ()) {
  const int ranks = *rc::gen::inRange(2, 6);
  GroupSimulation simulation({.ranks = ranks,
                              .checks_fencing = *rc::gen::arbitrary<bool>(),
                              .seed = *rc::gen::arbitrary<uint64_t>()});
  simulation.SetPeerFaults(FaultsOfLevel(*rc::gen::inRange(0, kLevels)));
  simulation.SetEngineFaults(FaultsOfLevel(*rc::gen::inRange(0, kLevels)));
  const int count = *rc::gen::inRange(1, 300);
  const auto faults = *rc::gen::container<std::vector<Fault>>(
      static_cast<size_t>(count), AnyFault(ranks));
  for (const Fault& fault : faults) {
    simulation.AdvanceTo(simulation.now() + milliseconds(fault.after_ms));
    Execute(fault, simulation);
  }
  RC_ASSERT(simulation.violation() == "");

  EndFaults(simulation, ranks);
  simulation.AdvanceTo(simulation.now() + kSettleBound);
  RC_ASSERT(simulation.undecided() == 0);
  const uint64_t step = simulation.lowest_step();
  const uint64_t version = simulation.lowest_version();
  RC_ASSERT(simulation.highest_version() <= version + 1);
  simulation.Propose(0);
  simulation.AdvanceTo(simulation.now() + kSwitchBound);
  if (simulation.result(0) == ProposalResult::kAborted) {
    // A restarted process learns the highest round from one refusal.
    simulation.Propose(0);
    simulation.AdvanceTo(simulation.now() + kSwitchBound);
  }
  RC_ASSERT(simulation.violation() == "");
  RC_ASSERT(simulation.lowest_step() >= step + kStepsAfterFaults);
  RC_ASSERT(simulation.result(0) == ProposalResult::kChosen);
  RC_ASSERT(simulation.lowest_version() == version + 1);
}

}  // namespace
}  // namespace wagtailshore::map_switch
