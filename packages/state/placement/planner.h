#ifndef STATE_PLACEMENT_PLANNER_H_
#define STATE_PLACEMENT_PLANNER_H_

#include <cstdint>

#include "common/time.h"
#include "state/placement/expert_map.h"
#include "state/placement/mix_memory.h"

namespace wagtailshore::placement {

struct PlanOptions {
  // The group's weights from the manifest.
  double skew_weight = 1;
  double cost_weight = 1;
  // Time for which a new map is expected to be in use.
  common::Duration horizon = common::seconds(600);
  // Size of one expert's weights.
  uint64_t expert_bytes = 50'000'000;
  // Bandwidth of the weight store that the group may use, in bytes per second.
  double store_bytes_per_second = 1e9;
  // Bytes that may currently be fetched.
  uint64_t budget_bytes = UINT64_MAX;
  // Step time lost by a switch, and additionally by each expert moved.
  common::Duration lost_per_switch = common::milliseconds(10);
  common::Duration lost_per_move = common::milliseconds(2);
  // Minimum reduction of Skew::slowest; a smaller one counts as noise.
  double min_gain = 0.04;
  // No further improvement is sought once the slowest rank exceeds the mean
  // load by less than this share.
  double target_excess = 0.02;
};

// A change of the map that saves more than it costs, or no change.
struct Plan {
  // Equal to the current map if nothing moves.
  ExpertMap map;
  int moves = 0;
  // Seconds over the horizon, multiplied by the group's weights.
  double saved_seconds = 0;
  double cost_seconds = 0;
};

// Returns the cost of moving `moves` experts, in seconds multiplied by the
// group's cost weight.
double CostSeconds(int moves, const PlanOptions& options);

// Returns the change of `current` with the largest saving over the horizon, net
// of its cost. Savings are computed for the first scenario, the current load.
Plan MakePlan(const ExpertMap& current,
              const Scenarios& scenarios,
              const PlanOptions& options);

}  // namespace wagtailshore::placement

#endif  // STATE_PLACEMENT_PLANNER_H_
