#include "state/expert_demand/expert_demand.h"

#include <cmath>
#include <numeric>

namespace wagtailshore::expert_demand {

ExpertDemand::ExpertDemand(const ExpertDemandOptions& options)
    : options_(options),
      loads_(options.layers, placement::Loads(options.experts)) {}

void ExpertDemand::OnCounts(int rank,
                            uint64_t epoch,
                            const std::vector<uint64_t>& counts,
                            common::Time now) {
  const size_t experts = static_cast<size_t>(options_.experts);
  if (counts.size() != loads_.size() * experts) {
    return;
  }
  Decay(now);
  RankCounts& last = last_[rank];
  const bool comparable =
      last.counts.size() == counts.size() && last.epoch == epoch;
  for (size_t i = 0; comparable && i < counts.size(); ++i) {
    // A counter that fell began anew.
    if (counts[i] >= last.counts[i]) {
      loads_[i / experts][i % experts] +=
          static_cast<double>(counts[i] - last.counts[i]);
    }
  }
  last = {.epoch = epoch, .counts = counts};
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
