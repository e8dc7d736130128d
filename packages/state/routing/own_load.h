#ifndef STATE_ROUTING_OWN_LOAD_H_
#define STATE_ROUTING_OWN_LOAD_H_

#include <cstdint>
#include <deque>

#include "common/time.h"

namespace wagtailshore::routing {

// Counts this entry's own attempts in flight at one endpoint and keeps a short
// history of the count. A load report is out of date when it arrives: it covers
// the attempts that were in flight when it was measured, not the later ones.
class OwnLoad {
 public:
  void Begin(common::Time now);
  void End(common::Time now);
  // Sets the count to 0 and drops the history, because the endpoint has been
  // replaced by a new process.
  void Reset();

  uint32_t in_flight() const { return in_flight_; }
  // Returns the count at `time`, which must lie within the history.
  uint32_t InFlightAt(common::Time time) const;

 private:
  struct Change {
    common::Time at;
    uint32_t in_flight = 0;
  };

  void RecordChange(common::Time now);

  uint32_t in_flight_ = 0;
  std::deque<Change> changes_;
};

}  // namespace wagtailshore::routing

#endif  // STATE_ROUTING_OWN_LOAD_H_
