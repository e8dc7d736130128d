#ifndef STATE_PLACEMENT_EXPERT_LOAD_H_
#define STATE_PLACEMENT_EXPERT_LOAD_H_

#include <vector>

#include "common/time.h"

namespace wagtailshore::placement {

// Load of each expert of one layer, indexed by expert, in any additive unit
// such as tokens per second.
using Loads = std::vector<double>;

struct ExpertLoadOptions {
  int experts = 1;
  // Age at which an observation has half its weight.
  common::Duration half_life = common::seconds(300);
};

// Exponentially weighted moving average of the experts' measured load.
class ExpertLoad {
 public:
  explicit ExpertLoad(const ExpertLoadOptions& options);

  // Adds the load that was measured since the last observation. `measured` has
  // one value per expert.
  void Observe(const Loads& measured, common::Time now);

  const Loads& average() const { return average_; }

 private:
  ExpertLoadOptions options_;
  bool observed_ = false;
  common::Time last_{};
  Loads average_;
};

}  // namespace wagtailshore::placement

#endif  // STATE_PLACEMENT_EXPERT_LOAD_H_
