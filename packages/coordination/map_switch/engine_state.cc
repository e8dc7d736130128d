#include "coordination/map_switch/engine_state.h"

#include <algorithm>

namespace wagtailshore::map_switch {

bool IsValid(const EngineState& state, const Ballot& ballot, const Hold& hold) {
  if (ballot <= state.in_force.ballot) {
    return false;
  }
  const auto first = state.refused_below.lower_bound(hold.fencing_number);
  return std::all_of(first, state.refused_below.end(),
                     [&](const auto& entry) { return entry.second <= ballot; });
}

const std::pair<const Ballot, Hold>* PendingHold(const EngineState& state) {
  const std::pair<const Ballot, Hold>* pending = nullptr;
  for (const auto& hold : state.holds) {
    if (IsValid(state, hold.first, hold.second) &&
        (pending == nullptr ||
         hold.second.fencing_number >= pending->second.fencing_number)) {
      pending = &hold;
    }
  }
  return pending;
}

Ballot RefusalBound(const EngineState& state) {
  Ballot bound = JustAbove(state.in_force.ballot);
  for (const auto& [fencing_number, refused] : state.refused_below) {
    bound = std::max(bound, refused);
  }
  return bound;
}

Ballot JustAbove(const Ballot& ballot) {
  Ballot above = ballot;
  ++above.fencing_number;
  return above;
}

}  // namespace wagtailshore::map_switch
