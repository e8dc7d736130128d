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

// Checks that every expert is placed, that no rank has more experts than slots,
// and that the replicas of an expert are on different ranks. Returns a finding
// for each violation; places are JSON pointers.
common::Findings Check(const GroupShape& shape, const ExpertMap& map);

// Returns the number of replicas of each expert.
std::vector<int> ReplicaCounts(const ExpertMap& map, size_t experts);

// Returns the load of each rank, in the unit of `loads`.
std::vector<double> RankLoads(const ExpertMap& map, const Loads& loads);

struct Skew {
  // Load of the slowest rank over the mean of all ranks; at least 1.
  double slowest = 1;
  // Load of the slowest rank less that of the fastest, over the mean of all
  // ranks.
  double gap = 0;
};

// `paces` has the factor by which each rank takes longer for the same load;
// ranks beyond its end have 1.
Skew SkewOf(const ExpertMap& map,
            const Loads& loads,
            const std::vector<double>& paces = {});

// Returns a lower bound of Skew::slowest for all maps of this shape: 1, or the
// lowest maximum load per replica that the slots allow, over the mean.
double SlowestLowerBound(const GroupShape& shape, const Loads& loads);

// Returns a new map that does not depend on the current one: replicates the
// experts with the highest load until all slots are used, then places the
// replicas on the least loaded ranks, highest load first.
ExpertMap Pack(const GroupShape& shape, const Loads& loads);

// Whether `expert` is among these experts of a rank.
bool Holds(const std::vector<int>& slots, int expert);

// Returns the number of experts that a rank holds in `to` but not in `from`.
int CountNew(const std::vector<int>& from, const std::vector<int>& to);

// Returns the same, summed over all ranks: the number of expert copies to fetch
// from the weight store.
int CountMoves(const ExpertMap& from, const ExpertMap& to);

}  // namespace wagtailshore::placement

#endif  // STATE_PLACEMENT_EXPERT_MAP_H_
