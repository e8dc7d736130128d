#include "state/placement/expert_load.h"

#include <cmath>

#include "common/invariant.h"

namespace wagtailshore::placement {

ExpertLoad::ExpertLoad(const ExpertLoadOptions& options)
    : options_(options), average_(options.experts) {}

void ExpertLoad::Observe(const Loads& measured, common::Time now) {
  WS_INVARIANT(measured.size() == average_.size());
  const common::Duration elapsed = now - last_;
  last_ = now;
  if (!observed_) {
    observed_ = true;
    average_ = measured;
    return;
  }
  const double remaining =
      std::exp2(-static_cast<double>(elapsed.count()) /
                static_cast<double>(options_.half_life.count()));
  for (size_t i = 0; i < average_.size(); ++i) {
    average_[i] = remaining * average_[i] + (1 - remaining) * measured[i];
  }
}

}  // namespace wagtailshore::placement
