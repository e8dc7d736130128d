#include "state/placement/expert_load.h"

#include <algorithm>
#include <cmath>

#include "common/invariant.h"

namespace wagtailshore::placement {
namespace {

// Share of the old average that is left after `elapsed`.
double Remaining(common::Duration elapsed, common::Duration half_life) {
  return std::exp2(-static_cast<double>(elapsed.count()) /
                   static_cast<double>(half_life.count()));
}

void Mix(const Loads& measured, double remaining, Loads& average) {
  for (size_t i = 0; i < average.size(); ++i) {
    average[i] = remaining * average[i] + (1 - remaining) * measured[i];
  }
}

}  // namespace

ExpertLoad::ExpertLoad(const ExpertLoadOptions& options)
    : options_(options), fast_(options.experts), slow_(options.experts) {}

void ExpertLoad::Observe(const Loads& measured, common::Time now) {
  WS_INVARIANT(measured.size() == fast_.size());
  const common::Duration elapsed = now - last_;
  last_ = now;
  if (!observed_) {
    observed_ = true;
    fast_ = measured;
    slow_ = measured;
    return;
  }
  Mix(measured, Remaining(elapsed, options_.fast_half_life), fast_);
  Mix(measured, Remaining(elapsed, options_.slow_half_life), slow_);
}

Loads ExpertLoad::Envelope() const {
  Loads envelope = fast_;
  for (size_t i = 0; i < envelope.size(); ++i) {
    envelope[i] = std::max(envelope[i], slow_[i]);
  }
  return envelope;
}

}  // namespace wagtailshore::placement
