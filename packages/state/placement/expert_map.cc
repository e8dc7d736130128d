#include "state/placement/expert_map.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <queue>
#include <set>

#include "common/invariant.h"
#include "common/strings.h"

namespace wagtailshore::placement {
namespace {

double Mean(const Loads& loads, size_t ranks) {
  return std::accumulate(loads.begin(), loads.end(), 0.0) /
         static_cast<double>(ranks);
}

// Returns the number of replicas needed for a load of at most `limit` each.
int64_t ReplicasNeeded(const Loads& loads, double limit) {
  int64_t needed = 0;
  for (double load : loads) {
    needed += std::max<int64_t>(1, std::llround(std::ceil(load / limit)));
  }
  return needed;
}

std::vector<int> ChooseReplicaCounts(const GroupShape& shape,
                                     const Loads& loads) {
  std::vector<int> counts(shape.experts, 1);
  using Entry = std::pair<double, int>;
  std::priority_queue<Entry> hottest;
  for (int expert = 0; expert < shape.experts; ++expert) {
    hottest.emplace(loads[expert], expert);
  }
  int spare = shape.ranks * shape.slots_per_rank - shape.experts;
  while (spare > 0 && !hottest.empty()) {
    const int expert = hottest.top().second;
    hottest.pop();
    if (counts[expert] == shape.ranks) {
      continue;
    }
    ++counts[expert];
    --spare;
    hottest.emplace(loads[expert] / counts[expert], expert);
  }
  return counts;
}

}  // namespace

common::Findings Check(const GroupShape& shape, const ExpertMap& map) {
  common::Findings findings;
  std::set<int> placed;
  for (size_t rank = 0; rank < map.ranks.size(); ++rank) {
    const std::vector<int>& slots = map.ranks[rank];
    const std::string place = common::StrCat("/ranks/", rank);
    const std::set<int> distinct(slots.begin(), slots.end());
    if (distinct.size() != slots.size()) {
      findings.push_back({place, "holds the same expert more than once"});
    }
    if (std::ssize(slots) > shape.slots_per_rank) {
      findings.push_back({place, "has more experts than slots"});
    }
    placed.insert(slots.begin(), slots.end());
  }
  if (std::ssize(map.ranks) != shape.ranks) {
    findings.push_back({"/ranks", "must have one entry per rank"});
  }
  if (std::ssize(placed) != shape.experts || *placed.begin() != 0 ||
      *placed.rbegin() != shape.experts - 1) {
    findings.push_back({"/ranks", "must place each expert and no unknown one"});
  }
  return findings;
}

std::vector<int> ReplicaCounts(const ExpertMap& map, size_t experts) {
  std::vector<int> counts(experts);
  for (const auto& slots : map.ranks) {
    for (int expert : slots) {
      ++counts[expert];
    }
  }
  return counts;
}

std::vector<double> RankLoads(const ExpertMap& map, const Loads& loads) {
  const std::vector<int> counts = ReplicaCounts(map, loads.size());
  std::vector<double> rank_loads(map.ranks.size());
  for (size_t rank = 0; rank < map.ranks.size(); ++rank) {
    for (int expert : map.ranks[rank]) {
      rank_loads[rank] += loads[expert] / counts[expert];
    }
  }
  return rank_loads;
}

Skew SkewOf(const ExpertMap& map,
            const Loads& loads,
            const std::vector<double>& paces) {
  std::vector<double> rank_loads = RankLoads(map, loads);
  for (size_t i = 0; i < std::min(paces.size(), rank_loads.size()); ++i) {
    rank_loads[i] *= paces[i];
  }
  const double mean = Mean(loads, map.ranks.size());
  if (mean <= 0) {
    return {};
  }
  const auto [fastest, slowest] =
      std::minmax_element(rank_loads.begin(), rank_loads.end());
  return {.slowest = *slowest / mean, .gap = (*slowest - *fastest) / mean};
}

double SlowestLowerBound(const GroupShape& shape, const Loads& loads) {
  const double mean = Mean(loads, shape.ranks);
  if (mean <= 0) {
    return 1;
  }
  const int64_t slots = int64_t{shape.ranks} * shape.slots_per_rank;
  double low = mean;
  double high = std::max(mean, *std::max_element(loads.begin(), loads.end()));
  if (ReplicasNeeded(loads, low) <= slots) {
    return 1;
  }
  constexpr int kHalvings = 40;
  for (int i = 0; i < kHalvings; ++i) {
    const double middle = (low + high) / 2;
    (ReplicasNeeded(loads, middle) <= slots ? high : low) = middle;
  }
  return low / mean;
}

ExpertMap Pack(const GroupShape& shape, const Loads& loads) {
  WS_INVARIANT(shape.ranks * shape.slots_per_rank >= shape.experts);
  WS_INVARIANT(std::ssize(loads) == shape.experts);
  const std::vector<int> counts = ChooseReplicaCounts(shape, loads);
  std::vector<int> order(shape.experts);
  std::iota(order.begin(), order.end(), 0);
  // Highest load per replica first: an expert with replicas on nearly every
  // rank is placed while every rank has a free slot.
  std::stable_sort(order.begin(), order.end(), [&](int a, int b) {
    return loads[a] / counts[a] > loads[b] / counts[b];
  });
  ExpertMap map{.ranks = std::vector<std::vector<int>>(shape.ranks)};
  std::vector<double> rank_loads(shape.ranks);
  std::vector<int> ranks(shape.ranks);
  std::iota(ranks.begin(), ranks.end(), 0);
  for (int expert : order) {
    std::stable_sort(ranks.begin(), ranks.end(), [&](int a, int b) {
      return rank_loads[a] < rank_loads[b];
    });
    int left = counts[expert];
    for (int rank : ranks) {
      if (left > 0 && std::ssize(map.ranks[rank]) < shape.slots_per_rank) {
        map.ranks[rank].push_back(expert);
        rank_loads[rank] += loads[expert] / counts[expert];
        --left;
      }
    }
    // Replicas for which no rank without this expert has a free slot are left
    // out; their slots stay empty.
    WS_INVARIANT(left < counts[expert]) << "expert " << expert << " not placed";
  }
  return map;
}

bool Holds(const std::vector<int>& slots, int expert) {
  return std::find(slots.begin(), slots.end(), expert) != slots.end();
}

int CountNew(const std::vector<int>& from, const std::vector<int>& to) {
  return static_cast<int>(std::count_if(
      to.begin(), to.end(), [&](int expert) { return !Holds(from, expert); }));
}

int CountMoves(const ExpertMap& from, const ExpertMap& to) {
  int moves = 0;
  for (size_t rank = 0; rank < to.ranks.size(); ++rank) {
    moves += CountNew(from.ranks[rank], to.ranks[rank]);
  }
  return moves;
}

}  // namespace wagtailshore::placement
