#ifndef STATE_PLACEMENT_IMPROVER_H_
#define STATE_PLACEMENT_IMPROVER_H_

#include <optional>
#include <vector>

#include "state/placement/expert_map.h"
#include "state/placement/mix_memory.h"

namespace wagtailshore::placement {

// Limits the number of experts that a rank holds in the improved map but not in
// `origin`.
struct NewExpertLimit {
  ExpertMap origin;
  // By rank; no limit if empty.
  std::vector<int> max_new = {};
};

// Improves a map by local search: each step applies the change that reduces the
// load of the slowest rank in the worst scenario most per expert moved. Only
// the least loaded ranks are considered as partners of a change.
class Improver {
 public:
  Improver(const ExpertMap& map, const Scenarios& scenarios);
  // Changes keep within `limit`; `map` must already be within it.
  Improver(const ExpertMap& map,
           const Scenarios& scenarios,
           const NewExpertLimit& limit);

  // Applies the best change and returns the number of experts moved; 0 when no
  // change helps.
  int Step();

  // Leaves a local optimum, in which no single change helps: adds a replica of
  // the expert with the highest load on the slowest rank where the resulting
  // peak is lowest. Another rank may be slower until further steps relieve it.
  // Returns the number of experts moved; 0 when no replica can be added.
  int Perturb();

  const ExpertMap& map() const { return map_; }
  // Load of the slowest rank in the worst scenario, over the mean.
  double slowest() const { return rank_loads_[SlowestRank()].peak; }
  // Load of the slowest rank in the first scenario, the current load, over the
  // mean.
  double CurrentSlowest() const;

 private:
  // Puts `expert` into slot `slot` of `rank`. If `swap_rank` is set, the expert
  // that was there goes to that rank's slot `swap_slot`, else that replica is
  // removed.
  struct Change {
    int rank = 0;
    int slot = 0;
    int expert = 0;
    int swap_rank = -1;
    int swap_slot = -1;
    int moves = 1;
    // Highest load of the affected ranks after the change.
    double peak = 0;
  };

  // A rank's load in each scenario, over the mean of all ranks.
  struct RankLoad {
    std::vector<double> by_scenario;
    // Maximum over all scenarios.
    double peak = 0;
  };

  double Load(size_t scenario, int expert) const {
    return loads_[scenario][expert];
  }
  double Share(size_t scenario, int expert) const {
    return Load(scenario, expert) / counts_[expert];
  }
  bool Holds(int rank, int expert) const {
    return held_[static_cast<size_t>(rank) * counts_.size() + expert];
  }
  // Whether a replica of the expert may be removed.
  bool MayDrop(int expert) const {
    return counts_[expert] > 1 && !perturbed_[expert];
  }
  // Returns the rank's number of new experts after `in` replaces `out`.
  int NewExpertsAfter(int rank, int out, int in) const;
  // Whether the rank stays within its limit if `in` replaces `out`.
  bool CanReplace(int rank, int out, int in) const {
    return max_new_.empty() || NewExpertsAfter(rank, out, in) <= max_new_[rank];
  }
  // Whether the change keeps within the limits of all ranks.
  bool IsWithinLimit(const Change& change) const;
  int SlowestRank() const;
  // Returns the expert of the rank with the highest load per replica in any
  // scenario.
  int HeaviestExpert(int rank) const;
  void Consider(const Change& change, std::optional<Change>& best) const;
  // Returns the highest load after `expert` replaces the one in the slot. Stops
  // early once the load reaches `limit`.
  double PeakAfterReplace(int hot_rank,
                          int rank,
                          int slot,
                          int expert,
                          double limit) const;
  // Returns the highest load of both ranks after the two experts are swapped.
  double PeakAfterSwap(int hot_rank, int out, int rank, int in) const;
  void ConsiderReplicas(int hot_rank, std::optional<Change>& best) const;
  void ConsiderDrops(int hot_rank, std::optional<Change>& best) const;
  void ConsiderSwaps(int hot_rank, std::optional<Change>& best) const;
  void ChoosePartners();
  void AddShares(int expert, double sign);
  void ReplaceExpert(int rank, int slot, int expert);
  void Apply(const Change& change);

  ExpertMap map_;
  // By scenario and expert, scaled so that the mean load of a rank is 1.
  Scenarios loads_;
  std::vector<int> counts_;
  // Experts replicated by Perturb(). Their replicas are kept, as the next step
  // would otherwise undo the change.
  std::vector<bool> perturbed_;
  std::vector<RankLoad> rank_loads_;
  // The slowest rank's load before this step.
  double peak_ = 0;
  // The least loaded ranks before this step.
  std::vector<int> partners_;
  // Whether a rank holds an expert, by rank and then expert.
  std::vector<bool> held_;
  std::vector<std::vector<int>> holders_;
  std::vector<int> max_new_;
  // As `held_`, for the limit's origin.
  std::vector<bool> held_before_;
  // Number of experts of each rank that it does not hold in the origin.
  std::vector<int> new_counts_;
};

}  // namespace wagtailshore::placement

#endif  // STATE_PLACEMENT_IMPROVER_H_
