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
  // Fencing number of this coordinator; higher than those of its predecessors.
  uint64_t generation = 1;
  // Rank at which this coordinator holds the group; another one for each
  // coordinator, as a rank has one hold at a time: a later order to hold may
  // replace it.
  int hold_rank = 0;
  // Steps between the last one known to have begun and the switch. With 2, the
  // hold and all orders to arm are usually carried out within one step, so the
  // group does not wait. With 1, the switch comes a step sooner, but the group
  // waits while ranks are armed.
  uint64_t lead_steps = 2;
  // Time limit for copying experts, after which the switch is abandoned.
  common::Duration prepare_timeout = common::seconds(6);
  // Interval for repeating the order to a rank that accepted the map but does
  // not report it as prepared.
  common::Duration prepare_retry_interval = common::seconds(3);
  // Reports older than this are ignored.
  common::Duration report_expiry = common::milliseconds(1500);
};

enum class Phase {
  kIdle,
  // Ranks copy the experts that they lack.
  kPreparing,
  // One rank is ordered to hold the group before the step of the switch.
  kHolding,
  // Every rank is ordered to switch at that step.
  kArming,
  // Some rank cannot switch, so the armed ranks are disarmed.
  kDisarming,
  // The hold is released.
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
// is, so no step can begin with two maps, whichever messages are lost or
// delayed and whichever processes die. A hold that another coordinator left
// behind is resolved in the same way.
//
// New maps are needed because expert popularity shifts, and one overloaded rank
// slows the whole group. Does no I/O; relies on the ranks to check fencing
// numbers.
class MapCoordinator {
 public:
  explicit MapCoordinator(const MapCoordinatorOptions& options);

  // Handles a rank's report. Its content may be as old as `requested_at`, the
  // time at which it was requested.
  void OnReport(int rank, const RankReport& report, common::Time requested_at);
  // Handles the outcome of an order. Ignores orders that are no longer in
  // flight.
  void OnOutcome(uint64_t order_id, OrderOutcome outcome, common::Time now);
  // Returns the orders to send now; each rank has at most one in flight.
  std::vector<RankOrder> Tick(common::Time now);

  // Whether every rank has reported recently, all in one epoch and with one
  // map, and no switch is in progress.
  bool CanSwitch(common::Time now) const;
  // Begins a switch. Requires CanSwitch().
  void Switch(std::shared_ptr<const GroupMap> map, common::Time now);

  // A later coordinator exists: this one sends no more orders.
  void OnSuperseded() { fenced_ = true; }

  uint64_t generation() const { return options_.generation; }
  Phase phase() const { return phase_; }
  // Whether a later coordinator exists; this one then sends no more orders.
  bool fenced() const { return fenced_; }
  // Highest epoch that a rank has reported; 0 before any report.
  uint64_t epoch() const { return epoch_; }
  // Version of the map that the first rank reported last; 0 before any report.
  uint64_t map_version() const;
  // Number of switches for which every rank confirmed that it was armed.
  uint64_t switches() const { return switches_; }
  // Whether the operation in progress may hold the group.
  bool may_hold_group() const {
    return phase_ != Phase::kIdle && phase_ != Phase::kPreparing;
  }

 private:
  struct Rank {
    std::optional<RankReport> report;
    // When the report was requested.
    common::Time report_requested_at{};
    // Id of the order without an outcome, if any.
    std::optional<uint64_t> in_flight;
    // Whether the rank has confirmed its order of this phase.
    bool confirmed = false;
    common::Time accepted_at{};
  };

  void EnterPhase(Phase phase, common::Time now);
  void Reset();
  void Recover(common::Time now);
  void TickPreparing(common::Time now, std::vector<RankOrder>& orders);
  void TickHolding(common::Time now, std::vector<RankOrder>& orders);
  void TickArming(common::Time now, std::vector<RankOrder>& orders);
  void TickDisarming(common::Time now, std::vector<RankOrder>& orders);
  void TickReleasing(common::Time now, std::vector<RankOrder>& orders);
  void AddOrder(int rank, OrderBody body, std::vector<RankOrder>& orders);
  bool AllConfirmed() const;
  // Whether all ranks have unexpired reports that were requested in this phase.
  bool AllReportedThisPhase(common::Time now) const;
  // Whether all ranks have unexpired reports.
  bool AllReportsFresh(common::Time now) const;
  // The highest step that any rank has reported as begun.
  uint64_t HighestStep() const;

  MapCoordinatorOptions options_;
  std::vector<Rank> ranks_;
  uint64_t epoch_ = 0;
  Phase phase_ = Phase::kIdle;
  common::Time phase_began_{};
  uint64_t next_version_;
  uint64_t version_ = 0;
  std::shared_ptr<const GroupMap> map_;
  uint64_t switch_step_ = 0;
  // Whether another coordinator chose the map and the step.
  bool adopted_ = false;
  bool fenced_ = false;
  uint64_t next_order_ = 1;
  // Rank by the id of the order in flight.
  std::map<uint64_t, int> rank_by_order_;
  uint64_t switches_ = 0;
};

}  // namespace wagtailshore::map_coordinator

#endif  // COORDINATION_MAP_COORDINATOR_MAP_COORDINATOR_H_
