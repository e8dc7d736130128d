#ifndef STATE_PLACEMENT_IMPROVER_H_
#define STATE_PLACEMENT_IMPROVER_H_

#include <optional>
#include <vector>

#include "state/placement/expert_map.h"
#include "state/placement/mix_memory.h"

namespace wagtailshore::placement {

// Improves a map step by step: each step relieves the slowest rank of the worst
// scenario by the change that relieves it most for each expert moved. Only the
// least loaded ranks are looked at as its partners.
class Improver {
 public:
  Improver(const ExpertMap& map, const Scenarios& scenarios);

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
  int Slowest() const;
  // The expert with the highest share on the rank, over all scenarios.
  int Heaviest(int rank) const;
  void Offer(const Change& change, std::optional<Change>& best) const;
  // The highest load after `expert` replaces what is in the slot.
  double PeakAfterReplace(int hot, int rank, int slot, int expert) const;
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
  std::vector<RankLoad> loads_of_ranks_;
  // The slowest rank's load before this step.
  double peak_ = 0;
  // The least loaded ranks before this step.
  std::vector<int> partners_;
  // Whether a rank holds an expert, by rank and then expert.
  std::vector<bool> held_;
  std::vector<std::vector<int>> holders_;
};

}  // namespace wagtailshore::placement

#endif  // STATE_PLACEMENT_IMPROVER_H_
