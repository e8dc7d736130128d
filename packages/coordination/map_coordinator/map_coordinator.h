#ifndef COORDINATION_MAP_COORDINATOR_MAP_COORDINATOR_H_
#define COORDINATION_MAP_COORDINATOR_MAP_COORDINATOR_H_

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "common/enum_names.h"
#include "common/time.h"
#include "coordination/map_coordinator/rank_orders.h"

namespace wagtailshore::map_coordinator {

struct MapCoordinatorOptions {
  int ranks = 1;
  // Fencing number of this coordinator; higher than that of any before.
  uint64_t generation = 1;
  // Steps between the last one known to have begun and the switch. With 2 the
  // hold and all arms usually pass within one step and nobody waits; with 1 the
  // switch comes a step sooner, and the group waits while ranks are armed.
  uint64_t lead_steps = 2;
  // Copying may take this long; an attempt that takes longer is given up.
  common::Duration prepare_timeout = common::seconds(6);
  // A rank that accepted a map and does not report it is told again.
  common::Duration prepare_repeat = common::seconds(3);
  // A report older than this says nothing of the rank.
  common::Duration report_expiry = common::milliseconds(1500);
};

enum class Phase {
  kIdle,
  // Ranks copy the experts they lack.
  kPreparing,
  // One rank is made to hold the group before the step of the switch.
  kHolding,
  // Every rank is told to switch at that step.
  kArming,
  // Some rank cannot switch: those that would are told not to.
  kDisarming,
  // The hold is taken away.
  kReleasing,
};

inline constexpr common::EnumNames<Phase, 6> kPhaseNames = {{
    {Phase::kIdle, "idle"},
    {Phase::kPreparing, "preparing"},
    {Phase::kHolding, "holding"},
    {Phase::kArming, "arming"},
    {Phase::kDisarming, "disarming"},
    {Phase::kReleasing, "releasing"},
}};

// Switches a lock-step group to a new expert map at one step for all ranks.
// No rank is armed unless the group is held before that step, and the hold is
// released only when either every rank has confirmed that it is armed or none
// is, so no step can begin with two maps whatever gets lost, comes late, or
// dies. A hold that another coordinator left behind is resolved the same way.
//
// Answers the load of shifting expert popularity, where one overloaded rank
// slows the whole group. Pure; relies on the ranks' checking fencing numbers.
class MapCoordinator {
 public:
  explicit MapCoordinator(const MapCoordinatorOptions& options);

  // What a rank answered to a question of `asked_at`; it may be as old as that.
  void OnReport(int rank, const RankReport& report, common::Time asked_at);
  void OnOutcome(uint64_t order_id, OrderOutcome outcome, common::Time now);
  // The orders to give now; each rank has one at a time.
  std::vector<RankOrder> Tick(common::Time now);

  // Whether every rank has reported lately, in one epoch with one map, and
  // nothing is under way.
  bool CanSwitch(common::Time now) const;
  // Begins a switch; only when CanSwitch().
  void Switch(std::shared_ptr<const GroupMap> map, common::Time now);

  Phase phase() const { return phase_; }
  // A later coordinator exists; this one gives no more orders.
  bool fenced() const { return fenced_; }
  uint64_t epoch() const { return epoch_; }
  // The map that all ranks used when last seen together.
  uint64_t map_version() const;
  uint64_t switches() const { return switches_; }
  // Whether a group may be held by what is under way.
  bool urgent() const {
    return phase_ != Phase::kIdle && phase_ != Phase::kPreparing;
  }

 private:
  struct Rank {
    std::optional<RankReport> report;
    // When the report was asked for.
    common::Time reported_at{};
    // The order without an outcome, if any.
    std::optional<uint64_t> in_flight;
    // Confirmed for this phase.
    bool confirmed = false;
    common::Time accepted_at{};
  };

  void Enter(Phase phase, common::Time now);
  void Reset();
  void Recover(common::Time now);
  void TickPreparing(common::Time now, std::vector<RankOrder>& orders);
  void TickHolding(common::Time now, std::vector<RankOrder>& orders);
  void TickArming(common::Time now, std::vector<RankOrder>& orders);
  void TickDisarming(common::Time now, std::vector<RankOrder>& orders);
  void TickReleasing(common::Time now, std::vector<RankOrder>& orders);
  void Give(int rank, OrderBody body, std::vector<RankOrder>& orders);
  bool AllConfirmed() const;
  // Whether all ranks have reported lately, and what they reported is from
  // this phase.
  bool AllReported(common::Time now) const;
  bool AllFresh(common::Time now) const;
  uint64_t FurthestStep() const;

  MapCoordinatorOptions options_;
  std::vector<Rank> ranks_;
  uint64_t epoch_ = 0;
  Phase phase_ = Phase::kIdle;
  common::Time phase_began_{};
  uint64_t next_version_;
  uint64_t version_ = 0;
  std::shared_ptr<const GroupMap> map_;
  // The step of the switch, and the rank that holds the group before it.
  uint64_t step_ = 0;
  int hold_rank_ = 0;
  bool fenced_ = false;
  uint64_t next_order_ = 1;
  // Rank by order.
  std::map<uint64_t, int> orders_;
  uint64_t switches_ = 0;
};

}  // namespace wagtailshore::map_coordinator

#endif  // COORDINATION_MAP_COORDINATOR_MAP_COORDINATOR_H_
