#ifndef UNIT_COORDINATION_MAP_COORDINATOR_FAKE_GROUP_H_
#define UNIT_COORDINATION_MAP_COORDINATOR_FAKE_GROUP_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "common/time.h"
#include "coordination/map_coordinator/rank_orders.h"

namespace wagtailshore::map_coordinator {

// A lock-step group that carries out orders as the engines do, on a virtual
// clock.
class FakeGroup {
 public:
  // Without `checks_fencing` ranks carry out the orders of earlier coordinators
  // too.
  FakeGroup(int ranks, common::Duration copy_time, bool checks_fencing = true);

  // Begins a step if one is due. Returns false if ranks would run it with
  // different maps.
  bool Advance(common::Time now);
  OrderOutcome Execute(const RankOrder& order, common::Time now);
  RankReport Report(int rank, common::Time now) const;
  // Simulates the loss and return of a rank: the group re-forms.
  void Reform();

  uint64_t step() const { return step_; }
  uint64_t map_version() const { return ranks_.front().map; }
  // How long the currently held step has been due; zero if none is held.
  common::Duration held_for(common::Time now) const;
  bool armed() const;

 private:
  struct Rank {
    uint64_t map = 0;
    uint64_t highest_version = 0;
    uint64_t highest_generation = 0;
    std::optional<uint64_t> prepared;
    common::Time ready_at{};
    std::optional<ArmedMap> armed;
    std::optional<uint64_t> held;
  };

  bool IsHeld(uint64_t step) const;
  OrderOutcome Apply(Rank& rank, const PrepareMap& order, common::Time now);
  OrderOutcome Apply(Rank& rank, const ArmMap& order, common::Time now);
  OrderOutcome Apply(Rank& rank, const DisarmMap& order, common::Time now);
  OrderOutcome Apply(Rank& rank, const HoldStep& order, common::Time now);
  OrderOutcome Apply(Rank& rank, const ReleaseStep& order, common::Time now);

  std::vector<Rank> ranks_;
  common::Duration copy_time_;
  bool checks_fencing_;
  uint64_t epoch_ = 1;
  uint64_t step_ = 0;
  common::Time next_step_{};
  std::optional<common::Time> held_since_;
};

}  // namespace wagtailshore::map_coordinator

#endif  // UNIT_COORDINATION_MAP_COORDINATOR_FAKE_GROUP_H_
