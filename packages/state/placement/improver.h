#ifndef STATE_PLACEMENT_IMPROVER_H_
#define STATE_PLACEMENT_IMPROVER_H_

#include <optional>
#include <vector>

#include "state/placement/expert_map.h"

namespace wagtailshore::placement {

// Improves a map step by step: each step relieves the slowest rank by the one
// change that relieves it most for each expert moved.
class Improver {
 public:
  // `loads` are what the map is improved for.
  Improver(const ExpertMap& map, const Loads& loads);

  // Makes the best change and returns the experts that it moves; 0 when none
  // helps.
  int Step();

  const ExpertMap& map() const { return map_; }

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

  double Share(int expert) const { return loads_[expert] / counts_[expert]; }
  bool Holds(int rank, int expert) const {
    return held_[static_cast<size_t>(rank) * loads_.size() + expert];
  }
  int Slowest() const;
  void Offer(const Change& change, std::optional<Change>& best) const;
  // The highest load after `expert` replaces what is in the slot.
  double PeakAfterReplace(int hot, int rank, int slot, int expert) const;
  void OfferReplicas(int hot, std::optional<Change>& best) const;
  void OfferDrops(int hot, std::optional<Change>& best) const;
  void OfferSwaps(int hot, std::optional<Change>& best) const;
  void Put(int rank, int slot, int expert);
  void Carry(const Change& change);

  ExpertMap map_;
  Loads loads_;
  std::vector<int> counts_;
  std::vector<double> rank_loads_;
  // The slowest rank's load before this step.
  double peak_ = 0;
  // Whether a rank holds an expert, by rank and then expert.
  std::vector<bool> held_;
  std::vector<std::vector<int>> holders_;
};

}  // namespace wagtailshore::placement

#endif  // STATE_PLACEMENT_IMPROVER_H_
