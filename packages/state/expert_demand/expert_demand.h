#ifndef STATE_EXPERT_DEMAND_EXPERT_DEMAND_H_
#define STATE_EXPERT_DEMAND_EXPERT_DEMAND_H_

#include <cstdint>
#include <vector>

#include "common/time.h"
#include "state/placement/expert_load.h"

// How often the requests of a group choose each expert.
namespace wagtailshore::expert_demand {

struct ExpertDemandOptions {
  int layers = 1;
  int experts = 1;
  // Age at which a choice has half its weight while demand is steady; long
  // enough to average over the requests that happen to run.
  common::Duration half_life = common::milliseconds(200);
  // Demand has shifted if MovedShare() between the earlier rounds and a new one
  // exceeds this. Requests that start and end move up to 0.16 of the choices
  // between rounds of a dozen ranks; shifts move 0.26 and more.
  double shift_share = 0.2;
  // Minimum number of choices per expert and layer for a round to be evaluated.
  double min_choices_per_expert = 4;
};

// Converts an engine's cumulative counters, which start at 0 with the engine,
// into the choices since the previous reading.
class ChoiceCounter {
 public:
  // Returns the choices since the last call, by counter; all 0 on the first
  // call and after a restart of the engine.
  std::vector<uint64_t> Update(const std::vector<uint64_t>& counters);

 private:
  std::vector<uint64_t> last_;
};

// Estimates the current demand for each expert from rounds of readings. Demand
// can shift at once. Readings from before a shift would distort the planned map
// for as long as they have weight, so they are dropped; the round in which the
// shift is detected is dropped as well, as it mixes choices from before and
// after.
class ExpertDemand {
 public:
  explicit ExpertDemand(const ExpertDemandOptions& options);

  // Adds the choices at one rank since its previous reading, by layer and then
  // expert. Ignored if the size does not match.
  void OnChoices(const std::vector<uint64_t>& choices);
  // Ends the round: the readings since the last call were requested together.
  // Returns whether they show a shift. A round with too few choices goes on.
  bool CloseRound(common::Time now);

  // Drops all readings.
  void Reset();

  // Recent choices of each expert, by layer, weighted by age.
  const std::vector<placement::Loads>& loads() const { return loads_; }
  // Sum of loads() over all layers; 0 while shifting().
  double total() const;
  // Whether a shift was detected and no round has been completed since.
  bool shifting() const { return shifting_; }

 private:
  ExpertDemandOptions options_;
  std::vector<placement::Loads> loads_;
  // Choices of the current round, by layer.
  std::vector<placement::Loads> round_;
  common::Time closed_at_{};
  bool shifting_ = false;
};

// Returns the share of the choices that differs between two samples (the total
// variation distance), less the difference that two random samples of these
// sizes have on average for the same demand. Averaged over the layers; 0 when
// either sample is empty.
double MovedShare(const std::vector<placement::Loads>& one,
                  const std::vector<placement::Loads>& other);

}  // namespace wagtailshore::expert_demand

#endif  // STATE_EXPERT_DEMAND_EXPERT_DEMAND_H_
