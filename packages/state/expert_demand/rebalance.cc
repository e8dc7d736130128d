#include "state/expert_demand/rebalance.h"

#include <algorithm>

#include "state/placement/improver.h"

namespace wagtailshore::expert_demand {
namespace {

using placement::ExpertMap;
using placement::Loads;

// Maximum improvement steps of one layer, per rank.
constexpr int kStepsPerRank = 4;
// Maximum perturbations in one layer once no single change helps.
constexpr int kMaxPerturbations = 6;
// New experts per rank of the first plan that is tried; each further plan
// allows twice as many.
constexpr int kMaxFirstCopies = 3;

bool IsSlow(const RebalanceOptions& options, size_t rank) {
  return rank < options.paces.size() && options.paces[rank] >= kSlowPace;
}

// Adds an expert that only a slow rank holds to the rank whose load is then
// lowest, in a free slot or in place of an expert with other replicas. Returns
// false if no rank can hold it.
bool AddToOtherRank(int expert,
                    const ExpertMap& origin,
                    const Loads& loads,
                    const RebalanceOptions& options,
                    const std::vector<int>& max_new,
                    std::vector<int>& counts,
                    ExpertMap& map) {
  const std::vector<double> rank_loads = placement::RankLoads(map, loads);
  int best_rank = -1;
  int best_slot = -1;
  double best_load = 0;
  for (size_t rank = 0; rank < map.ranks.size(); ++rank) {
    const std::vector<int>& held = map.ranks[rank];
    if (IsSlow(options, rank) || placement::Holds(held, expert) ||
        placement::CountNew(origin.ranks[rank], held) >= max_new[rank]) {
      continue;
    }
    const auto consider = [&](int slot, double freed) {
      const double load = rank_loads[rank] + loads[expert] - freed;
      if (best_rank < 0 || load < best_load) {
        best_rank = static_cast<int>(rank);
        best_slot = slot;
        best_load = load;
      }
    };
    if (std::ssize(held) < options.slots_per_rank) {
      consider(-1, 0);
    }
    for (int slot = 0; slot < std::ssize(held); ++slot) {
      if (counts[held[slot]] > 1) {
        consider(slot, loads[held[slot]] / counts[held[slot]]);
      }
    }
  }
  if (best_rank < 0) {
    return false;
  }
  std::vector<int>& held = map.ranks[best_rank];
  if (best_slot < 0) {
    held.push_back(expert);
  } else {
    --counts[held[best_slot]];
    held[best_slot] = expert;
  }
  ++counts[expert];
  return true;
}

// Removes from slow ranks the experts that other ranks hold or can hold.
ExpertMap RelieveSlowRanks(const ExpertMap& current,
                           const Loads& loads,
                           const RebalanceOptions& options,
                           const std::vector<int>& max_new) {
  ExpertMap map = current;
  std::vector<int> counts = placement::ReplicaCounts(map, loads.size());
  for (size_t rank = 0; rank < map.ranks.size(); ++rank) {
    if (!IsSlow(options, rank)) {
      continue;
    }
    const std::vector<int> held = map.ranks[rank];
    for (const int expert : held) {
      if (counts[expert] > 1 || AddToOtherRank(expert, current, loads, options,
                                               max_new, counts, map)) {
        std::erase(map.ranks[rank], expert);
        --counts[expert];
      }
    }
  }
  return map;
}

// Fills free slots: repeatedly adds the expert with the highest load per
// replica to the least loaded rank that can hold it. `max_new` limits the
// experts of each rank that it does not hold in `current`.
ExpertMap FillFreeSlots(const ExpertMap& current,
                        const ExpertMap& relieved,
                        const Loads& loads,
                        int slots_per_rank,
                        const std::vector<int>& max_new) {
  ExpertMap map = relieved;
  std::vector<int> counts = placement::ReplicaCounts(map, loads.size());
  const auto can_add = [&](size_t rank, int expert) {
    return std::ssize(map.ranks[rank]) < slots_per_rank &&
           placement::CountNew(current.ranks[rank], map.ranks[rank]) <
               max_new[rank] &&
           !placement::Holds(map.ranks[rank], expert);
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
        if (can_add(rank, expert) &&
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

// Returns the best maps with at most `copies` new experts per rank over all
// layers.
Rebalance PlanAll(const std::vector<ExpertMap>& current,
                  const std::vector<Loads>& loads,
                  const RebalanceOptions& options,
                  int copies) {
  Rebalance plan{.slowest_before = MeanSlowest(current, loads, options.paces)};
  const auto layers = static_cast<int>(current.size());
  const size_t ranks = current.front().ranks.size();
  std::vector<int> copied(ranks);
  for (size_t layer = 0; layer < current.size(); ++layer) {
    const ExpertMap& before = current[layer];
    // The allowed copies of a rank grow layer by layer, so that the first
    // layers do not use them all up.
    const int allowed_copies =
        (copies * (static_cast<int>(layer) + 1) + layers - 1) / layers;
    std::vector<int> max_new(ranks);
    for (size_t rank = 0; rank < ranks; ++rank) {
      // With fewer copies than layers, each rank has a part in some layers.
      const bool takes_part =
          (rank + layer) % layers < static_cast<size_t>(copies);
      max_new[rank] =
          IsSlow(options, rank) || !takes_part
              ? 0
              : std::min(
                    options.max_new_per_rank,
                    (copies < layers ? copies : allowed_copies) - copied[rank]);
    }
    const double layer_before =
        placement::SkewOf(before, loads[layer], options.paces).slowest;
    if (layer_before <= options.target_slowest) {
      plan.maps.push_back(before);
      continue;
    }
    const ExpertMap filled = FillFreeSlots(
        before, RelieveSlowRanks(before, loads[layer], options, max_new),
        loads[layer], options.slots_per_rank, max_new);
    placement::Improver improver(
        filled, {loads[layer]},
        placement::NewExpertLimit{.origin = before, .max_new = max_new});
    ExpertMap best = filled;
    double best_slowest = improver.CurrentSlowest();
    int perturbations_left = kMaxPerturbations;
    const int max_steps = kStepsPerRank * static_cast<int>(before.ranks.size());
    for (int step = 0;
         step < max_steps && best_slowest > options.target_slowest; ++step) {
      if (improver.Step() == 0 &&
          (perturbations_left-- == 0 || improver.Perturb() == 0)) {
        break;
      }
      if (improver.CurrentSlowest() < best_slowest) {
        best = improver.map();
        best_slowest = improver.CurrentSlowest();
      }
    }
    const int moves = placement::CountMoves(before, best);
    const double layer_after =
        placement::SkewOf(best, loads[layer], options.paces).slowest;
    const double saving = (layer_before - layer_after) / (layer_before + 1e-9) /
                          static_cast<double>(current.size());
    if (saving <= moves * options.cost_per_move) {
      best = before;
    } else {
      plan.moves += moves;
      for (size_t rank = 0; rank < ranks; ++rank) {
        copied[rank] +=
            placement::CountNew(before.ranks[rank], best.ranks[rank]);
      }
    }
    plan.copies = *std::max_element(copied.begin(), copied.end());
    plan.maps.push_back(std::move(best));
  }
  plan.slowest_after = MeanSlowest(plan.maps, loads, options.paces);
  return plan;
}

}  // namespace

double MeanSlowest(const std::vector<ExpertMap>& maps,
                   const std::vector<Loads>& loads,
                   const std::vector<double>& paces) {
  double sum = 0;
  for (size_t layer = 0; layer < maps.size(); ++layer) {
    sum += placement::SkewOf(maps[layer], loads[layer], paces).slowest;
  }
  return maps.empty() ? 1 : sum / static_cast<double>(maps.size());
}

std::optional<Rebalance> PlanRebalance(const std::vector<ExpertMap>& current,
                                       const std::vector<Loads>& loads,
                                       const RebalanceOptions& options) {
  const int max_copies =
      options.max_new_per_rank * static_cast<int>(current.size());
  const auto mean_slowest = [&options](const Rebalance& plan) {
    const double switched =
        (options.switch_time + plan.copies * options.copy_time) /
        std::chrono::duration<double>(options.horizon);
    return plan.slowest_before * switched +
           plan.slowest_after * std::max(0.0, 1 - switched);
  };
  // Copies that take less time than the rest of a switch are not spread over
  // several. Few are tried first, as each plan takes processor time.
  const int min_copies =
      options.copy_time * kMaxFirstCopies < options.switch_time
          ? kMaxFirstCopies
          : 1;
  Rebalance plan;
  for (int copies = std::min(min_copies, max_copies);;
       copies = std::min(copies * 2, max_copies)) {
    Rebalance next = PlanAll(current, loads, options, copies);
    if (!plan.maps.empty() && mean_slowest(next) >= mean_slowest(plan)) {
      break;
    }
    plan = std::move(next);
    if (copies == max_copies ||
        plan.slowest_after <= options.acceptable_slowest) {
      break;
    }
  }
  const double saving =
      (plan.slowest_before - plan.slowest_after) / plan.slowest_before;
  // The number of copies is no criterion: a slow rank may be relieved without
  // any.
  if (saving < options.min_saving) {
    return std::nullopt;
  }
  return plan;
}

}  // namespace wagtailshore::expert_demand
