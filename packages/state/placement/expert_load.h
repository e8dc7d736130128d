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
  common::Duration fast_half_life = common::seconds(120);
  common::Duration slow_half_life = common::seconds(3600);
};

// The experts' load as measured, averaged with exponential decay.
class ExpertLoad {
 public:
  explicit ExpertLoad(const ExpertLoadOptions& options);

  // Takes in the load that was measured since the last observation.
  void Observe(const Loads& measured, common::Time now);

  // What is asked for now, without the noise of one measurement.
  const Loads& fast() const { return fast_; }
  // The higher of the fast and the slow average: an expert that was in demand
  // not long ago keeps its room, as its mix may come back.
  Loads Envelope() const;

 private:
  ExpertLoadOptions options_;
  bool observed_ = false;
  common::Time last_{};
  Loads fast_;
  Loads slow_;
};

}  // namespace wagtailshore::placement

#endif  // STATE_PLACEMENT_EXPERT_LOAD_H_
