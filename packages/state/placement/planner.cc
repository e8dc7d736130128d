#include "state/placement/planner.h"

#include <chrono>

#include "state/placement/improver.h"

namespace wagtailshore::placement {
namespace {

using FloatSeconds = std::chrono::duration<double>;

// Maximum improvement steps per rank of the group.
constexpr int kStepsPerRank = 2;

// Maximum perturbations once no single change helps.
constexpr int kMaxPerturbations = 32;

}  // namespace

double CostSeconds(int moves, const PlanOptions& options) {
  const double bytes =
      static_cast<double>(options.expert_bytes) * static_cast<double>(moves);
  const double lost = FloatSeconds(options.lost_per_switch).count() +
                      FloatSeconds(options.lost_per_move).count() * moves;
  return options.cost_weight * (bytes / options.store_bytes_per_second + lost);
}

Plan MakePlan(const ExpertMap& current,
              const Scenarios& scenarios,
              const PlanOptions& options) {
  const Loads& demand = scenarios.front();
  const double slowest = SkewOf(current, demand).slowest;
  Plan best{.map = current};
  if (slowest - 1 < options.min_gain) {
    return best;
  }
  const double weighted_horizon =
      options.skew_weight * FloatSeconds(options.horizon).count();
  double best_net = 0;
  Improver improver(current, scenarios);
  const int max_steps = kStepsPerRank * static_cast<int>(current.ranks.size());
  int perturbations_left = kMaxPerturbations;
  for (int step = 0; step < max_steps; ++step) {
    if (improver.slowest() - 1 < options.target_excess) {
      break;
    }
    if (improver.Step() == 0 &&
        (perturbations_left-- == 0 || improver.Perturb() == 0)) {
      break;
    }
    const double gain = slowest - improver.CurrentSlowest();
    const double saved = weighted_horizon * gain;
    if (gain < options.min_gain || saved <= best_net) {
      continue;
    }
    const int moves = CountMoves(current, improver.map());
    const double cost = CostSeconds(moves, options);
    const bool affordable =
        moves * options.expert_bytes <= options.budget_bytes;
    if (affordable && saved - cost > best_net) {
      best_net = saved - cost;
      best = {.map = improver.map(),
              .moves = moves,
              .saved_seconds = saved,
              .cost_seconds = cost};
    }
  }
  return best;
}

}  // namespace wagtailshore::placement
