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
  // Age at which a choice counts half. Source: demand shifts every few seconds
  // on the heaviest days, and a map should follow within about one.
  common::Duration half_life = common::milliseconds(200);
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

// Sums up what was chosen, with exponential decay.
class ExpertDemand {
 public:
  explicit ExpertDemand(const ExpertDemandOptions& options);

  // What requests chose at some rank lately, by layer and then expert.
  void OnChoices(const std::vector<uint64_t>& choices, common::Time now);

  // Recent choices of each expert, by layer.
  const std::vector<placement::Loads>& loads() const { return loads_; }
  // Recent choices in all, over all layers.
  double total() const;

 private:
  void Decay(common::Time now);

  ExpertDemandOptions options_;
  std::vector<placement::Loads> loads_;
  common::Time decayed_at_{};
};

}  // namespace wagtailshore::expert_demand

#endif  // STATE_EXPERT_DEMAND_EXPERT_DEMAND_H_
