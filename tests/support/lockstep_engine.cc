#include "support/lockstep_engine.h"

#include <algorithm>
#include <variant>

#include "common/invariant.h"

namespace wagtailshore::standins {

using map_switch::Ballot;
using map_switch::LoadState;

const map_switch::EngineState& LockstepEngine::Apply(
    const map_switch::Order& order) {
  const bool outdated = order.fencing_number < state_.owner;
  if (!checks_fencing_ || !outdated) {
    Execute(order);
  }
  return state_;
}

void LockstepEngine::Execute(const map_switch::Order& order) {
  if (std::holds_alternative<map_switch::TakeOver>(order.body)) {
    state_.owner = std::max(state_.owner, order.fencing_number);
  } else if (const auto* load = std::get_if<map_switch::LoadMap>(&order.body)) {
    // Besides the maps with a hold, the engine has memory for one more map.
    std::erase_if(state_.loads, [&](const auto& entry) {
      return entry.first < load->ballot && !state_.holds.contains(entry.first);
    });
    state_.loads.emplace(load->ballot, LoadState::kLoading);
  } else if (const auto* hold =
                 std::get_if<map_switch::PlaceHold>(&order.body)) {
    Place(*hold, order.fencing_number);
  } else if (const auto* close =
                 std::get_if<map_switch::RefuseBelow>(&order.body)) {
    RaiseRefusedBelow(close->bound, order.fencing_number);
  } else if (const auto* decide =
                 std::get_if<map_switch::Decide>(&order.body)) {
    const auto found = state_.holds.find(decide->ballot);
    if (found != state_.holds.end()) {
      found->second.decided = true;
    }
  } else if (const auto* release =
                 std::get_if<map_switch::Release>(&order.body)) {
    Drop(release->ballot, order.fencing_number);
  }
}

void LockstepEngine::Place(const map_switch::PlaceHold& order,
                           uint64_t fencing_number) {
  RaiseRefusedBelow(order.ballot, fencing_number);
  const auto found = state_.holds.find(order.ballot);
  if (found != state_.holds.end()) {
    found->second.fencing_number =
        std::max(found->second.fencing_number, fencing_number);
  } else if (state_.step <= order.step) {
    state_.holds[order.ballot] = {
        .map = order.map, .step = order.step, .fencing_number = fencing_number};
  }
}

void LockstepEngine::RaiseRefusedBelow(const Ballot& bound,
                                       uint64_t fencing_number) {
  Ballot& closed = state_.refused_below[fencing_number];
  closed = std::max(closed, bound);
}

void LockstepEngine::Drop(const Ballot& ballot, uint64_t fencing_number) {
  const auto found = state_.holds.find(ballot);
  if (found == state_.holds.end()) {
    return;
  }
  if (found->second.fencing_number < fencing_number ||
      !IsValid(state_, ballot, found->second)) {
    state_.holds.erase(found);
  }
}

void LockstepEngine::EndLoads(bool loaded) {
  for (auto& [ballot, load] : state_.loads) {
    if (load == LoadState::kLoading) {
      load = loaded ? LoadState::kLoaded : LoadState::kFailed;
    }
  }
}

bool LockstepEngine::held() const {
  return std::any_of(
      state_.holds.begin(), state_.holds.end(), [&](const auto& entry) {
        return entry.second.step <= state_.step && !entry.second.decided;
      });
}

map_switch::MapId LockstepEngine::StartStep() {
  WS_INVARIANT(!held());
  const auto due = std::find_if(
      state_.holds.begin(), state_.holds.end(),
      [&](const auto& entry) { return entry.second.step <= state_.step; });
  if (due != state_.holds.end()) {
    state_.in_force = {.map = due->second.map,
                       .ballot = due->first,
                       .since_step = due->second.step};
    state_.holds.erase(due);
  }
  ++state_.step;
  return state_.in_force.map;
}

}  // namespace wagtailshore::standins
