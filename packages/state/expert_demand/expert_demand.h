#ifndef STATE_EXPERT_DEMAND_EXPERT_DEMAND_H_
#define STATE_EXPERT_DEMAND_EXPERT_DEMAND_H_

#include <cstdint>
#include <map>
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

// Sums up the ranks' counters of chosen experts, with exponential decay.
class ExpertDemand {
 public:
  explicit ExpertDemand(const ExpertDemandOptions& options);

  // The rank's counters since it started, by layer and then expert; `epoch`
  // tells a group that formed anew, whose counters may have begun again.
  void OnCounts(int rank,
                uint64_t epoch,
                const std::vector<uint64_t>& counts,
                common::Time now);

  // Recent choices of each expert, by layer.
  const std::vector<placement::Loads>& loads() const { return loads_; }
  // Recent choices in all, over all layers.
  double total() const;

 private:
  struct RankCounts {
    uint64_t epoch = 0;
    std::vector<uint64_t> counts;
  };

  void Decay(common::Time now);

  ExpertDemandOptions options_;
  std::map<int, RankCounts> last_;
  std::vector<placement::Loads> loads_;
  common::Time decayed_at_{};
};

}  // namespace wagtailshore::expert_demand

#endif  // STATE_EXPERT_DEMAND_EXPERT_DEMAND_H_
