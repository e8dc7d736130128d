#ifndef STATE_PLACEMENT_EXPERT_LOAD_H_
#define STATE_PLACEMENT_EXPERT_LOAD_H_

#include <vector>

#include "common/time.h"

namespace wagtailshore::placement {

// Load of each expert of one layer, in any unit that adds up, such as tokens a
// second; indexed by expert.
using Loads = std::vector<double>;

struct ExpertLoadOptions {
  int experts = 1;
  // Time after which an observation counts half.
  common::Duration half_life = common::seconds(300);
};

// The experts' load as measured, averaged with exponential decay.
class ExpertLoad {
 public:
  explicit ExpertLoad(const ExpertLoadOptions& options);

  // Takes in the load that was measured since the last observation.
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
