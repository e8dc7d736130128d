#ifndef STATE_EXPERT_DEMAND_REBALANCE_H_
#define STATE_EXPERT_DEMAND_REBALANCE_H_

#include <optional>
#include <vector>

#include "state/placement/expert_map.h"

namespace wagtailshore::expert_demand {

// Pace from which on a rank is left without experts. Below it the rank's share
// of the experts costs the group less than the copies.
inline constexpr double kSlowPace = 1.8;

struct RebalanceOptions {
  // Expert slots per rank and layer.
  int slots_per_rank = 1;
  // Experts of one layer that a rank can take in at once.
  int max_new_per_rank = 1;
  // A layer whose slowest rank is this near to the mean is left as it is.
  double good_enough = 1.25;
  // Ranks copy side by side, each for a time in proportion to its new experts:
  // the plan with the fewest for any rank is taken whose slowest ranks are
  // within this, over the mean.
  double acceptable = 1.5;
  // Expected saving, as a share of the experts' part of a step, below which a
  // switch does not pay its copies and orders.
  double least_saving = 0.12;
  // Share of a step that copying one expert to one rank costs, spread over the
  // time that a map serves. Source: the price of an expert's copy against the
  // worth of what a group answers in the seconds between two shifts.
  double cost_per_move = 0.0004;
  // Times that a rank takes longer for the same load, by rank; 1 for all where
  // it is empty. A rank that is much slower is left without experts.
  std::vector<double> paces = {};
};

// A new map of all layers.
struct Rebalance {
  // By layer.
  std::vector<placement::ExpertMap> maps;
  // New experts of all ranks, and of the rank that has most.
  int moves = 0;
  int copies = 0;
  // Load of the slowest rank over the mean, averaged over the layers, before
  // and after.
  double slowest_before = 1;
  double slowest_after = 1;
};

// The slowest rank's load, by its pace, over the mean load, averaged over the
// layers.
double MeanSlowest(const std::vector<placement::ExpertMap>& maps,
                   const std::vector<placement::Loads>& loads,
                   const std::vector<double>& paces = {});

// A better set of maps than the current ones for these loads, within what the
// ranks can take in at once; nothing when none pays. Free slots are filled
// first, as they cost no replica. Answers the load of requests that favour few
// experts, and of ranks that turn slow, for which all others would wait.
std::optional<Rebalance> PlanRebalance(
    const std::vector<placement::ExpertMap>& current,
    const std::vector<placement::Loads>& loads,
    const RebalanceOptions& options);

}  // namespace wagtailshore::expert_demand

#endif  // STATE_EXPERT_DEMAND_REBALANCE_H_
