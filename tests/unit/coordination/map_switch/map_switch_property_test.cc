#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

#include "unit/coordination/map_switch/group_world.h"

namespace wagtailshore::map_switch {
namespace {

using common::milliseconds;
using common::seconds;

// Longer than a proposal may take to load, hold and settle, so that none of
// before is left.
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
  kCut,
  kEndCuts,
  kFailLoads,
  kMendLoads,
  kStoreDown,
  kStoreUp,
  kLinks,
  kEndOfList,
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
  const int kinds = static_cast<int>(FaultKind::kEndOfList);
  return rc::gen::build<Fault>(
      // Mostly within one proposal, at times longer than any timeout.
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

// The worst is later than any order's timeout.
LinkFaults FaultsOfLevel(int level) {
  return {.lost = 6 * level,
          .doubled = 8 * level,
          .max_delay = milliseconds(1 + 15 * level),
          .late = 3 * level};
}

constexpr int kLevels = 4;

void Carry(const Fault& fault, GroupWorld& world) {
  const bool as_zombie = fault.kind == FaultKind::kZombie;
  switch (fault.kind) {
    case FaultKind::kPropose:
      return world.Propose(fault.rank);
    case FaultKind::kStall:
      return world.Stall(fault.rank, world.now() + milliseconds(500));
    case FaultKind::kRestart:
    case FaultKind::kZombie:
      world.Kill(fault.rank, as_zombie);
      return world.Start(fault.rank);
    case FaultKind::kKill:
      return world.Kill(fault.rank, false);
    case FaultKind::kStart:
      return world.Start(fault.rank);
    case FaultKind::kCut:
      return world.Cut(fault.rank, fault.other);
    case FaultKind::kEndCuts:
      return world.EndCuts();
    case FaultKind::kFailLoads:
    case FaultKind::kMendLoads:
      return world.FailLoads(fault.rank, fault.kind == FaultKind::kFailLoads);
    case FaultKind::kStoreDown:
    case FaultKind::kStoreUp:
      return world.SetWeightStore(fault.kind == FaultKind::kStoreUp);
    case FaultKind::kLinks:
      world.SetPeerFaults(FaultsOfLevel(fault.rank % kLevels));
      return world.SetEngineFaults(FaultsOfLevel(fault.other % kLevels));
    case FaultKind::kEndOfList:
      return;
  }
}

void EndFaults(GroupWorld& world, int ranks) {
  world.SetPeerFaults({});
  world.SetEngineFaults({});
  world.EndCuts();
  world.EndZombies();
  world.SetWeightStore(true);
  for (int rank = 0; rank < ranks; ++rank) {
    world.FailLoads(rank, false);
    world.Start(rank);
  }
}

RC_GTEST_PROP(MapSwitchProperty, OneMapPerStepAndProgressAfterFaults, ()) {
  const int ranks = *rc::gen::inRange(2, 6);
  GroupWorld world({.ranks = ranks,
                    .checks_fencing = *rc::gen::arbitrary<bool>(),
                    .seed = *rc::gen::arbitrary<uint64_t>()});
  world.SetPeerFaults(FaultsOfLevel(*rc::gen::inRange(0, kLevels)));
  world.SetEngineFaults(FaultsOfLevel(*rc::gen::inRange(0, kLevels)));
  const int count = *rc::gen::inRange(1, 300);
  const auto faults = *rc::gen::container<std::vector<Fault>>(
      static_cast<size_t>(count), AnyFault(ranks));
  for (const Fault& fault : faults) {
    world.AdvanceTo(world.now() + milliseconds(fault.after_ms));
    Carry(fault, world);
  }
  RC_ASSERT(world.violation() == "");

  EndFaults(world, ranks);
  world.AdvanceTo(world.now() + kSettleBound);
  RC_ASSERT(world.undecided() == 0);
  const uint64_t step = world.lowest_step();
  const uint64_t version = world.lowest_version();
  RC_ASSERT(world.highest_version() <= version + 1);
  world.Propose(0);
  world.AdvanceTo(world.now() + kSwitchBound);
  if (world.result(0) == ProposalResult::kDead) {
    // A restarted process learns of later rounds by one refusal.
    world.Propose(0);
    world.AdvanceTo(world.now() + kSwitchBound);
  }
  RC_ASSERT(world.violation() == "");
  RC_ASSERT(world.lowest_step() >= step + kStepsAfterFaults);
  RC_ASSERT(world.result(0) == ProposalResult::kChosen);
  RC_ASSERT(world.lowest_version() == version + 1);
}

}  // namespace
}  // namespace wagtailshore::map_switch
