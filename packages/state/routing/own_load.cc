#include "state/routing/own_load.h"

#include <algorithm>

namespace wagtailshore::routing {
namespace {

// Length of the history. A report from before it is corrected as if no own
// attempt had been in flight.
constexpr common::Duration kHistoryWindow = common::seconds(10);
constexpr size_t kMaxChanges = 256;

}  // namespace

void OwnLoad::Begin(common::Time now) {
  ++in_flight_;
  RecordChange(now);
}

void OwnLoad::End(common::Time now) {
  // An attempt that began before Reset() ends after it.
  if (in_flight_ == 0) {
    return;
  }
  --in_flight_;
  RecordChange(now);
}

void OwnLoad::Reset() {
  in_flight_ = 0;
  changes_.clear();
}

uint32_t OwnLoad::InFlightAt(common::Time time) const {
  const auto later = std::upper_bound(
      changes_.begin(), changes_.end(), time,
      [](common::Time at, const Change& change) { return at < change.at; });
  return later == changes_.begin() ? 0 : std::prev(later)->in_flight;
}

void OwnLoad::RecordChange(common::Time now) {
  changes_.push_back({.at = now, .in_flight = in_flight_});
  // Keeps one change from before the window: it holds the count at the start of
  // the window.
  while (changes_.size() > kMaxChanges ||
         (changes_.size() > 1 && changes_[1].at < now - kHistoryWindow)) {
    changes_.pop_front();
  }
}

}  // namespace wagtailshore::routing
