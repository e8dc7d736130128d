#ifndef STATE_PLACEMENT_IMPROVER_H_
#define STATE_PLACEMENT_IMPROVER_H_

#include <optional>
#include <vector>

#include "state/placement/expert_map.h"
#include "state/placement/mix_memory.h"

namespace wagtailshore::placement {

// Bounds the experts that a rank holds in the improved map and did not hold in
// `origin`.
struct NewExpertLimit {
  ExpertMap origin;
  // By rank; any number where it is empty.
  std::vector<int> max_new = {};
};

// Improves a map step by step: each step relieves the slowest rank of the worst
// scenario by the change that relieves it most for each expert moved. Only the
// least loaded ranks are looked at as its partners.
class Improver {
 public:
  Improver(const ExpertMap& map, const Scenarios& scenarios);
  // Keeps within the limit, which `map` must.
  Improver(const ExpertMap& map,
           const Scenarios& scenarios,
           const NewExpertLimit& limit);

  // Makes the best change and returns the experts that it moves; 0 when none
  // helps.
  int Step();

  // Once no single change helps: adds a replica of the expert that weighs most
  // on the slowest rank where it harms least, though another rank may then be
  // slower until further steps relieve it. Returns the experts moved.
  int Unblock();

  const ExpertMap& map() const { return map_; }
  // The slowest rank in the worst scenario, over the mean.
  double slowest() const { return loads_of_ranks_[Slowest()].peak; }
  // The slowest rank in the first scenario, over the mean.
  double SlowestNow() const;

 private:
  // In `rank`, slot `slot` takes `expert` in; with `swap_rank` set, that rank's
  // slot `swap_slot` takes in what was there, else a replica is dropped.
  struct Change {
    int rank = 0;
    int slot = 0;
    int expert = 0;
    int swap_rank = -1;
    int swap_slot = -1;
    int moves = 1;
    // Highest load of the ranks touched, afterwards.
    double peak = 0;
  };

  // A rank's load in each scenario, over the mean of all ranks.
  struct RankLoad {
    std::vector<double> by_scenario;
    // The highest of them.
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
  // Whether one replica of the expert less is allowed.
  bool MayDrop(int expert) const {
    return counts_[expert] > 1 && !unblocked_[expert];
  }
  // What the rank's number of new experts changes by when it takes `in` for
  // `out`.
  int NewAfter(int rank, int out, int in) const;
  // Whether the rank may take `in` for `out`.
  bool MayTake(int rank, int out, int in) const {
    return max_new_.empty() || NewAfter(rank, out, in) <= max_new_[rank];
  }
  // Whether the change keeps within `max_new`.
  bool IsWithinLimit(const Change& change) const;
  int Slowest() const;
  // The expert with the highest share on the rank, over all scenarios.
  int Heaviest(int rank) const;
  void Offer(const Change& change, std::optional<Change>& best) const;
  // The highest load after `expert` replaces what is in the slot; any load of
  // `limit` or above ends the search for a higher one.
  double PeakAfterReplace(int hot,
                          int rank,
                          int slot,
                          int expert,
                          double limit) const;
  // The highest load of both ranks after the two experts change places.
  double PeakAfterSwap(int hot, int out, int rank, int in) const;
  void OfferReplicas(int hot, std::optional<Change>& best) const;
  void OfferDrops(int hot, std::optional<Change>& best) const;
  void OfferSwaps(int hot, std::optional<Change>& best) const;
  void FindPartners();
  void AddShares(int expert, double sign);
  void Put(int rank, int slot, int expert);
  void Carry(const Change& change);

  ExpertMap map_;
  // By scenario and expert, scaled so that the mean load of a rank is 1.
  Scenarios loads_;
  std::vector<int> counts_;
  // Experts that Unblock replicated; a step would undo it at once.
  std::vector<bool> unblocked_;
  std::vector<RankLoad> loads_of_ranks_;
  // The slowest rank's load before this step.
  double peak_ = 0;
  // The least loaded ranks before this step.
  std::vector<int> partners_;
  // Whether a rank holds an expert, by rank and then expert.
  std::vector<bool> held_;
  std::vector<std::vector<int>> holders_;
  std::vector<int> max_new_;
  // As `held_`, in the limit's origin.
  std::vector<bool> held_before_;
  // Experts of each rank that it did not hold then.
  std::vector<int> new_counts_;
};

}  // namespace wagtailshore::placement

#endif  // STATE_PLACEMENT_IMPROVER_H_
