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
  // How long a new map is expected to serve.
  common::Duration horizon = common::seconds(600);
  // Size of one expert's weights.
  uint64_t expert_bytes = 50'000'000;
  // What the weight store grants the group, in bytes per second.
  double store_bytes_per_second = 1e9;
  // Bytes that the budget allows now.
  uint64_t budget_bytes = UINT64_MAX;
  // Step time that a switch costs, and each expert moved on top.
  common::Duration lost_per_switch = common::milliseconds(10);
  common::Duration lost_per_move = common::milliseconds(2);
  // A skew saved below this share of the mean step is taken for noise.
  double least_gain = 0.04;
  // A map whose slowest rank is this near to the mean is good enough.
  double good_enough = 0.02;
};

// A change of map that is worth its cost, or none.
struct Plan {
  // The current map when nothing is to be moved.
  ExpertMap map;
  int moves = 0;
  // Weighted seconds, over the horizon.
  double saved_seconds = 0;
  double cost_seconds = 0;
};

// Weighted seconds that moving `moves` experts costs.
double CostSeconds(int moves, const PlanOptions& options);

// Looks for the change of `current` that saves most over the horizon, net of
// its cost, judged by the first scenario, the load now.
Plan MakePlan(const ExpertMap& current,
              const Scenarios& scenarios,
              const PlanOptions& options);

}  // namespace wagtailshore::placement

#endif  // STATE_PLACEMENT_PLANNER_H_
