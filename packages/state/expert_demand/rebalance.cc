#include "state/expert_demand/rebalance.h"

#include <algorithm>

#include "state/placement/improver.h"

namespace wagtailshore::expert_demand {
namespace {

using placement::ExpertMap;
using placement::Loads;

// Improvements of one layer looked at, for each rank.
constexpr int kStepsPerRank = 4;
// Times that the search goes on in one layer after no single change helps.
constexpr int kMaxUnblocks = 6;
// New experts per rank of the cheapest plan that is tried; each further one has
// twice as many.
constexpr int kLeastCopies = 3;

bool Holds(const std::vector<int>& rank, int expert) {
  return std::find(rank.begin(), rank.end(), expert) != rank.end();
}

int NewExperts(const std::vector<int>& before, const std::vector<int>& now) {
  return static_cast<int>(
      std::count_if(now.begin(), now.end(),
                    [&](int expert) { return !Holds(before, expert); }));
}

// Fills free slots: each time the expert whose replicas carry most goes to the
// least loaded rank that can take it. `max_new` is by rank.
ExpertMap FillFreeSlots(const ExpertMap& current,
                        const Loads& loads,
                        int slots_per_rank,
                        const std::vector<int>& max_new) {
  ExpertMap map = current;
  std::vector<int> counts = placement::ReplicaCounts(map, loads.size());
  const auto may_take = [&](size_t rank, int expert) {
    return std::ssize(map.ranks[rank]) < slots_per_rank &&
           NewExperts(current.ranks[rank], map.ranks[rank]) < max_new[rank] &&
           !Holds(map.ranks[rank], expert);
  };
  while (true) {
    std::vector<int> by_share(loads.size());
    for (size_t i = 0; i < by_share.size(); ++i) {
      by_share[i] = static_cast<int>(i);
    }
    std::sort(by_share.begin(), by_share.end(), [&](int a, int b) {
      return loads[a] / counts[a] > loads[b] / counts[b];
    });
    const std::vector<double> rank_loads = placement::RankLoads(map, loads);
    int chosen_rank = -1;
    int chosen_expert = -1;
    for (const int expert : by_share) {
      for (size_t rank = 0; rank < map.ranks.size(); ++rank) {
        if (may_take(rank, expert) &&
            (chosen_rank < 0 || rank_loads[rank] < rank_loads[chosen_rank])) {
          chosen_rank = static_cast<int>(rank);
          chosen_expert = expert;
        }
      }
      if (chosen_rank >= 0) {
        break;
      }
    }
    if (chosen_rank < 0 || loads[chosen_expert] <= 0) {
      return map;
    }
    map.ranks[chosen_rank].push_back(chosen_expert);
    ++counts[chosen_expert];
  }
}

// The best maps with at most `copies` new experts per rank over all layers.
Rebalance PlanAll(const std::vector<ExpertMap>& current,
                  const std::vector<Loads>& loads,
                  const RebalanceOptions& options,
                  int copies) {
  Rebalance plan{.slowest_before = MeanSlowest(current, loads)};
  const auto layers = static_cast<int>(current.size());
  const size_t ranks = current.front().ranks.size();
  std::vector<int> copied(ranks);
  for (size_t layer = 0; layer < current.size(); ++layer) {
    const ExpertMap& before = current[layer];
    // Later layers get as much as earlier ones: a rank's copies are released
    // layer by layer.
    const int released =
        (copies * (static_cast<int>(layer) + 1) + layers - 1) / layers;
    std::vector<int> max_new(ranks);
    for (size_t rank = 0; rank < ranks; ++rank) {
      max_new[rank] =
          std::min(options.max_new_per_rank, released - copied[rank]);
    }
    const double layer_before = placement::SkewOf(before, loads[layer]).slowest;
    if (layer_before <= options.good_enough) {
      plan.maps.push_back(before);
      continue;
    }
    const ExpertMap filled =
        FillFreeSlots(before, loads[layer], options.slots_per_rank, max_new);
    placement::Improver improver(
        filled, {loads[layer]},
        placement::NewExpertLimit{.origin = before, .max_new = max_new});
    ExpertMap best = filled;
    double best_slowest = improver.SlowestNow();
    int unblocks_left = kMaxUnblocks;
    const int max_steps = kStepsPerRank * static_cast<int>(before.ranks.size());
    for (int step = 0; step < max_steps && best_slowest > options.good_enough;
         ++step) {
      if (improver.Step() == 0 &&
          (unblocks_left-- == 0 || improver.Unblock() == 0)) {
        break;
      }
      if (improver.SlowestNow() < best_slowest) {
        best = improver.map();
        best_slowest = improver.SlowestNow();
      }
    }
    const int moves = placement::CountMoves(before, best);
    const double saving = (layer_before - best_slowest) /
                          (layer_before + 1e-9) /
                          static_cast<double>(current.size());
    if (saving <= moves * options.cost_per_move) {
      best = before;
    } else {
      plan.moves += moves;
      for (size_t rank = 0; rank < ranks; ++rank) {
        copied[rank] += NewExperts(before.ranks[rank], best.ranks[rank]);
      }
    }
    plan.copies = *std::max_element(copied.begin(), copied.end());
    plan.maps.push_back(std::move(best));
  }
  plan.slowest_after = MeanSlowest(plan.maps, loads);
  return plan;
}

}  // namespace

double MeanSlowest(const std::vector<ExpertMap>& maps,
                   const std::vector<Loads>& loads) {
  double sum = 0;
  for (size_t layer = 0; layer < maps.size(); ++layer) {
    sum += placement::SkewOf(maps[layer], loads[layer]).slowest;
  }
  return maps.empty() ? 1 : sum / static_cast<double>(maps.size());
}

std::optional<Rebalance> PlanRebalance(const std::vector<ExpertMap>& current,
                                       const std::vector<Loads>& loads,
                                       const RebalanceOptions& options) {
  const int most = options.max_new_per_rank * static_cast<int>(current.size());
  Rebalance plan;
  for (int copies = std::min(kLeastCopies, most);;
       copies = std::min(copies * 2, most)) {
    plan = PlanAll(current, loads, options, copies);
    if (plan.slowest_after <= options.acceptable || copies == most) {
      break;
    }
  }
  const double saving =
      (plan.slowest_before - plan.slowest_after) / plan.slowest_before;
  if (plan.moves == 0 || saving < options.least_saving) {
    return std::nullopt;
  }
  return plan;
}

}  // namespace wagtailshore::expert_demand
