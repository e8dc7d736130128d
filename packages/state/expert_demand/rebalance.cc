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

bool IsSlow(const RebalanceOptions& options, size_t rank) {
  return rank < options.paces.size() && options.paces[rank] >= kSlowPace;
}

// Finds a place on another rank for an expert that only a slow rank holds: a
// free slot, or that of an expert with other replicas, where the load rises
// least. Returns whether there was one.
bool MoveAway(int expert,
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
    const auto offer = [&](int slot, double freed) {
      const double load = rank_loads[rank] + loads[expert] - freed;
      if (best_rank < 0 || load < best_load) {
        best_rank = static_cast<int>(rank);
        best_slot = slot;
        best_load = load;
      }
    };
    if (std::ssize(held) < options.slots_per_rank) {
      offer(-1, 0);
    }
    for (int slot = 0; slot < std::ssize(held); ++slot) {
      if (counts[held[slot]] > 1) {
        offer(slot, loads[held[slot]] / counts[held[slot]]);
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

// Takes the experts off slow ranks that other ranks hold or can hold.
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
      if (counts[expert] > 1 ||
          MoveAway(expert, current, loads, options, max_new, counts, map)) {
        std::erase(map.ranks[rank], expert);
        --counts[expert];
      }
    }
  }
  return map;
}

// Fills free slots: each time the expert whose replicas carry most goes to the
// least loaded rank that can take it. `max_new` is by rank and counts against
// `current`.
ExpertMap FillFreeSlots(const ExpertMap& current,
                        const ExpertMap& relieved,
                        const Loads& loads,
                        int slots_per_rank,
                        const std::vector<int>& max_new) {
  ExpertMap map = relieved;
  std::vector<int> counts = placement::ReplicaCounts(map, loads.size());
  const auto may_take = [&](size_t rank, int expert) {
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
  Rebalance plan{.slowest_before = MeanSlowest(current, loads, options.paces)};
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
      max_new[rank] = IsSlow(options, rank) ? 0
                                            : std::min(options.max_new_per_rank,
                                                       released - copied[rank]);
    }
    const double layer_before =
        placement::SkewOf(before, loads[layer], options.paces).slowest;
    if (layer_before <= options.good_enough) {
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
  // A slow rank may be relieved without any copy.
  if (saving < options.least_saving) {
    return std::nullopt;
  }
  return plan;
}

}  // namespace wagtailshore::expert_demand
