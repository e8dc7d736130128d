#ifndef STATE_PLACEMENT_MIX_MEMORY_H_
#define STATE_PLACEMENT_MIX_MEMORY_H_

#include <cstddef>
#include <vector>

#include "common/time.h"
#include "state/placement/expert_load.h"

namespace wagtailshore::placement {

// Loads that a map should suit: the current one first, then others that are
// expected.
using Scenarios = std::vector<Loads>;

struct MixMemoryOptions {
  // Two loads belong to the same mix if the sum of the absolute differences of
  // their shares is below this.
  double same_mix_distance = 0.15;
  // Maximum number of mixes kept.
  size_t max_mixes = 8;
  // Time after which a recurring mix that was not seen again is no longer
  // expected.
  common::Duration expiry = common::seconds(2 * 3600);
};

// Keeps the load mixes between which demand alternates, so that one map can
// suit them all instead of being changed each time. A mix that has not
// recurred, as in a slow drift, is not expected again.
class MixMemory {
 public:
  explicit MixMemory(const MixMemoryOptions& options) : options_(options) {}

  // Records the current load.
  void Observe(const Loads& load, common::Time now);

  // Returns the last load observed and the shares of every other mix that is
  // expected again.
  Scenarios Expected() const;

 private:
  struct Mix {
    Loads shares;
    common::Time last_seen{};
    bool recurred = false;
  };

  void AddMix(const Loads& shares, common::Time now);

  MixMemoryOptions options_;
  Loads load_;
  std::vector<Mix> mixes_;
  // Index of the mix that the current load belongs to.
  size_t current_ = 0;
};

}  // namespace wagtailshore::placement

#endif  // STATE_PLACEMENT_MIX_MEMORY_H_
