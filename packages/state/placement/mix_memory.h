#ifndef STATE_PLACEMENT_MIX_MEMORY_H_
#define STATE_PLACEMENT_MIX_MEMORY_H_

#include <cstddef>
#include <vector>

#include "common/time.h"
#include "state/placement/expert_load.h"

namespace wagtailshore::placement {

// What the experts' load may be: the load now first, then others to expect.
using Scenarios = std::vector<Loads>;

struct MixMemoryOptions {
  // Two loads whose shares differ by less than this in all are one mix.
  double same_mix_distance = 0.15;
  // Mixes remembered.
  size_t max_mixes = 8;
  // How long a mix that has come back is expected again.
  common::Duration expiry = common::seconds(2 * 3600);
};

// Remembers the mixes that demand goes back to, so that a map can suit them
// all instead of being changed at every turn. A mix that never came back, as
// in a slow drift, is not expected again.
class MixMemory {
 public:
  explicit MixMemory(const MixMemoryOptions& options) : options_(options) {}

  // Takes in the load now.
  void Observe(const Loads& load, common::Time now);

  // The last load observed, and every other mix expected again.
  Scenarios Expected() const;

 private:
  struct Mix {
    Loads shares;
    common::Time last_seen{};
    bool came_back = false;
  };

  void Remember(const Loads& shares, common::Time now);

  MixMemoryOptions options_;
  Loads load_;
  std::vector<Mix> mixes_;
  // Index of the mix that the load now belongs to.
  size_t current_ = 0;
};

}  // namespace wagtailshore::placement

#endif  // STATE_PLACEMENT_MIX_MEMORY_H_
