#ifndef STATE_ROUTING_OWN_LOAD_H_
#define STATE_ROUTING_OWN_LOAD_H_

#include <cstdint>
#include <deque>

#include "common/time.h"

namespace wagtailshore::routing {

// Counts this entry's own attempts in flight at one endpoint and remembers the
// count for a while, so that a lagging report can be corrected: what the entry
// had in flight when the report was measured is in it, the rest is not.
class OwnLoad {
 public:
  void Begin(common::Time now);
  void End(common::Time now);
  // Forgets everything in flight; the endpoint is a new process.
  void Reset();

  uint32_t in_flight() const { return in_flight_; }
  // How many were in flight at `time`, which must lie within the history.
  uint32_t InFlightAt(common::Time time) const;

 private:
  struct Change {
    common::Time at;
    uint32_t in_flight = 0;
  };

  void Remember(common::Time now);

  uint32_t in_flight_ = 0;
  std::deque<Change> changes_;
};

}  // namespace wagtailshore::routing

#endif  // STATE_ROUTING_OWN_LOAD_H_
