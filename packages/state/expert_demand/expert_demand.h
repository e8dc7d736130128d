#ifndef STATE_EXPERT_DEMAND_EXPERT_DEMAND_H_
#define STATE_EXPERT_DEMAND_EXPERT_DEMAND_H_

#include <cstdint>
#include <vector>

#include "common/time.h"
#include "state/placement/expert_load.h"

// How often a group's requests choose each expert.
namespace wagtailshore::expert_demand {

struct ExpertDemandOptions {
  int layers = 1;
  int experts = 1;
  // Age at which a choice counts half while demand is steady; long enough to
  // even out which requests happen to run.
  common::Duration half_life = common::milliseconds(200);
  // Share of the choices that must have moved between experts, beyond what
  // chance explains, for demand to have shifted. Source: requests that come and
  // go move up to 0.16 between rounds of a dozen ranks, shifts 0.26 and more.
  double shift_share = 0.2;
  // Fewest choices per expert and layer that a round is judged by.
  double least_per_expert = 4;
};

// Turns an engine's counters, which run since it started, into the choices
// since they were last taken.
class ChoiceCounter {
 public:
  // The choices since the last call; none the first time and after a restart.
  std::vector<uint64_t> Take(const std::vector<uint64_t>& counters);

 private:
  std::vector<uint64_t> last_;
};

// Estimates what requests choose now from rounds of readings. Answers the load
// of demand that shifts at once: readings from before a shift would mislead a
// map for as long as they count, so they are dropped, and so is the round in
// which the shift is noticed, as it holds choices of both kinds.
class ExpertDemand {
 public:
  explicit ExpertDemand(const ExpertDemandOptions& options);

  // What requests chose at some rank since its reading before, by layer and
  // then expert.
  void OnChoices(const std::vector<uint64_t>& choices);
  // The readings since the last call were asked for together. Returns whether
  // they show a shift.
  bool CloseRound(common::Time now);

  // Recent choices of each expert, by layer.
  const std::vector<placement::Loads>& loads() const { return loads_; }
  // Recent choices in all, over all layers; 0 while a shift is under way.
  double total() const;
  // A shift was noticed, and no round has been read since.
  bool shifting() const { return shifting_; }

 private:
  ExpertDemandOptions options_;
  std::vector<placement::Loads> loads_;
  // The round in progress.
  std::vector<placement::Loads> round_;
  common::Time closed_at_{};
  bool shifting_ = false;
};

// Share of the choices that two samples give to different experts, averaged
// over the layers, beyond what is expected of two samples of their sizes from
// one demand. 0 when either is empty.
double MovedShare(const std::vector<placement::Loads>& one,
                  const std::vector<placement::Loads>& other);

}  // namespace wagtailshore::expert_demand

#endif  // STATE_EXPERT_DEMAND_EXPERT_DEMAND_H_
