#ifndef STATE_PLACEMENT_EXPERT_MAP_H_
#define STATE_PLACEMENT_EXPERT_MAP_H_

#include <vector>

#include "common/finding.h"
#include "state/placement/expert_load.h"

// Which rank of a group holds which experts of one layer. Replicas of an
// expert share its load evenly, and a step takes as long as its slowest rank.
namespace wagtailshore::placement {

struct GroupShape {
  int ranks = 1;
  int experts = 1;
  // Expert slots per rank; all ranks together hold at least every expert.
  int slots_per_rank = 1;
};

// The experts of each rank, in no particular order.
struct ExpertMap {
  std::vector<std::vector<int>> ranks;

  bool operator==(const ExpertMap&) const = default;
};

// What breaks the rules of a map: every expert placed, slots respected, and
// replicas of one expert on different ranks.
common::Findings Check(const GroupShape& shape, const ExpertMap& map);

// Replicas of each expert.
std::vector<int> ReplicaCounts(const ExpertMap& map, size_t experts);

// Each rank's load.
std::vector<double> RankLoads(const ExpertMap& map, const Loads& loads);

struct Skew {
  // Slowest rank over the mean of all ranks; 1 at best.
  double slowest = 1;
  // Slowest less fastest rank, over the mean of all ranks.
  double gap = 0;
};

// `paces` tells how many times longer a rank takes for its load, by rank; 1
// where it has none.
Skew SkewOf(const ExpertMap& map,
            const Loads& loads,
            const std::vector<double>& paces = {});

// No map of this shape has a `slowest` below it: the mean, or the least load
// per replica that the slots allow for the experts in demand.
double LowestSlowest(const GroupShape& shape, const Loads& loads);

// A map made without regard to the one in force: hot experts are replicated
// until the slots are used, then replicas go to the least loaded rank, the
// heaviest first.
ExpertMap Pack(const GroupShape& shape, const Loads& loads);

// Whether a rank with these experts has that one.
bool Holds(const std::vector<int>& slots, int expert);

// Experts that one rank holds in `to` but not in `from`.
int CountNew(const std::vector<int>& from, const std::vector<int>& to);

// The same over all ranks: what has
// to be fetched from the weight store.
int CountMoves(const ExpertMap& from, const ExpertMap& to);

}  // namespace wagtailshore::placement

#endif  // STATE_PLACEMENT_EXPERT_MAP_H_
