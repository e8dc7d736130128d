#ifndef STATE_EXPERT_DEMAND_REBALANCE_H_
#define STATE_EXPERT_DEMAND_REBALANCE_H_

#include <optional>
#include <vector>

#include "common/time.h"
#include "state/placement/expert_map.h"

namespace wagtailshore::expert_demand {

// Ranks with this pace or a higher one get no experts. Below it, moving their
// experts away costs the group more than it saves.
inline constexpr double kSlowPace = 1.8;

struct RebalanceOptions {
  // Expert slots per rank and layer.
  int slots_per_rank = 1;
  // New experts of one layer that a rank can receive in one switch.
  int max_new_per_rank = 1;
  // A layer is not changed while the load of its slowest rank, over the mean,
  // is at most this.
  double target_slowest = 1.25;
  // Ranks copy in parallel, so a switch takes `switch_time` and `copy_time` for
  // each new expert of the rank with the most. The plan is chosen whose map,
  // with the current one until it is in use, is best over `horizon`; what it
  // leaves to improve is planned next.
  common::Duration copy_time = common::milliseconds(20);
  common::Duration switch_time = common::milliseconds(120);
  common::Duration horizon = common::milliseconds(1000);
  // A plan that brings the mean slowest load to this is good enough: no further
  // one is tried.
  double acceptable_slowest = 1.5;
  // Minimum expected saving, as a share of the experts' part of a step. A
  // smaller one does not pay for the copies and orders of a switch.
  double min_saving = 0.12;
  // Cost of copying one expert to one rank, as a share of a step, spread over
  // the time that a map is in use: the price of the copy relative to the value
  // of the group's responses in the seconds between two shifts.
  double cost_per_move = 0.0004;
  // Pace of each rank: the factor by which it takes longer for the same load;
  // empty if all are 1. Ranks of kSlowPace and above get no experts.
  std::vector<double> paces = {};
};

// New maps of all layers.
struct Rebalance {
  // By layer.
  std::vector<placement::ExpertMap> maps;
  // New experts summed over all ranks, and of the rank with the most.
  int moves = 0;
  int copies = 0;
  // Load of the slowest rank over the mean, averaged over the layers, before
  // and after.
  double slowest_before = 1;
  double slowest_after = 1;
};

// Returns the load of the slowest rank, multiplied by its pace, over the mean
// load; averaged over the layers.
double MeanSlowest(const std::vector<placement::ExpertMap>& maps,
                   const std::vector<placement::Loads>& loads,
                   const std::vector<double>& paces = {});

// Returns better maps than the current ones for these loads, within the number
// of experts that each rank can receive, or nullopt when no change pays. Free
// slots are filled first, as that removes no replica. Handles requests that
// favour few experts, and ranks that become slow and delay all others.
std::optional<Rebalance> PlanRebalance(
    const std::vector<placement::ExpertMap>& current,
    const std::vector<placement::Loads>& loads,
    const RebalanceOptions& options);

}  // namespace wagtailshore::expert_demand

#endif  // STATE_EXPERT_DEMAND_REBALANCE_H_
