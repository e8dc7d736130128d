#include "state/expert_demand/expert_demand.h"

#include <cmath>
#include <numeric>

namespace wagtailshore::expert_demand {

std::vector<uint64_t> ChoiceCounter::Take(
    const std::vector<uint64_t>& counters) {
  std::vector<uint64_t> choices(counters.size());
  bool comparable = last_.size() == counters.size();
  for (size_t i = 0; comparable && i < counters.size(); ++i) {
    // A counter that fell began anew.
    comparable = counters[i] >= last_[i];
    choices[i] = comparable ? counters[i] - last_[i] : 0;
  }
  if (!comparable) {
    choices.assign(counters.size(), 0);
  }
  last_ = counters;
  return choices;
}

ExpertDemand::ExpertDemand(const ExpertDemandOptions& options)
    : options_(options),
      loads_(options.layers, placement::Loads(options.experts)) {}

void ExpertDemand::OnChoices(const std::vector<uint64_t>& choices,
                             common::Time now) {
  const auto experts = static_cast<size_t>(options_.experts);
  if (choices.size() != loads_.size() * experts) {
    return;
  }
  Decay(now);
  for (size_t i = 0; i < choices.size(); ++i) {
    loads_[i / experts][i % experts] += static_cast<double>(choices[i]);
  }
}

void ExpertDemand::Decay(common::Time now) {
  if (decayed_at_ != common::Time{}) {
    const double remaining =
        std::exp2(-std::chrono::duration<double>(now - decayed_at_) /
                  std::chrono::duration<double>(options_.half_life));
    for (placement::Loads& layer : loads_) {
      for (double& load : layer) {
        load *= remaining;
      }
    }
  }
  decayed_at_ = now;
}

double ExpertDemand::total() const {
  double total = 0;
  for (const placement::Loads& layer : loads_) {
    total += std::accumulate(layer.begin(), layer.end(), 0.0);
  }
  return total;
}

}  // namespace wagtailshore::expert_demand
