#ifndef COORDINATION_MAP_SWITCH_ENGINE_STATE_H_
#define COORDINATION_MAP_SWITCH_ENGINE_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <variant>

#include "coordination/map_switch/ballot.h"

// What one rank's engine keeps about map switches, and the orders that change
// it. The engine outlives its endpoint process, so this is where promises are
// kept. Every order names its ballot and the process that gave it, and orders
// may be repeated and reordered: an engine that ignores fencing numbers may
// carry out a late order of a dead process, and the state then still tells
// which promises count.
namespace wagtailshore::map_switch {

// The map that an engine steps with.
struct MapInForce {
  MapId map;
  // The ballot that chose it, and the first step that used it.
  Ballot ballot;
  uint64_t since_step = 0;

  bool operator==(const MapInForce&) const = default;
};

// A promise not to start `step` before the ballot is settled.
struct Hold {
  MapId map;
  uint64_t step = 0;
  // Highest fencing number of the processes that ordered it.
  uint64_t fencing_number = 0;
  // Set when the ballot's map is to be used from `step` on.
  bool decided = false;

  bool operator==(const Hold&) const = default;
};

enum class LoadState { kLoading, kLoaded, kFailed };

struct EngineState {
  // The next step that has not been started.
  uint64_t step = 0;
  MapInForce in_force;
  // Highest fencing number that a take-over carried.
  uint64_t owner = 0;
  std::map<Ballot, Hold> holds;
  // Ballots below the bound are refused by the process with that fencing
  // number; the bounds only rise.
  std::map<uint64_t, Ballot> closed_below;
  // Maps being brought into spare room.
  std::map<Ballot, LoadState> loads;
};

// Begins the orders of a process.
struct TakeOver {};
// Brings the experts that move into spare room.
struct LoadMap {
  Ballot ballot;
  MapId map;
};
// Promises to hold at `step`, and refuses every lower ballot. Without effect
// when `step` has been started and the hold is not there yet.
struct PlaceHold {
  Ballot ballot;
  MapId map;
  uint64_t step = 0;
};
// Refuses all ballots below the bound.
struct CloseBelow {
  Ballot bound;
};
// Uses the ballot's map from the hold's step on.
struct Decide {
  Ballot ballot;
};
// Drops a hold that does not count, or that only earlier processes ordered.
struct Release {
  Ballot ballot;
};
// Reads the state only.
struct ReadState {};

using OrderBody = std::variant<ReadState,
                               TakeOver,
                               LoadMap,
                               PlaceHold,
                               CloseBelow,
                               Decide,
                               Release>;

// Its answer is the engine's state right after it.
struct Order {
  // Distinguishes the orders of one process, so that late answers are dropped.
  uint64_t id = 0;
  uint64_t fencing_number = 0;
  OrderBody body;
};

// Whether the promise counts: no process as late as the one that ordered it
// has refused the ballot, and no later ballot has been switched to.
bool IsValid(const EngineState& state, const Ballot& ballot, const Hold& hold);

// The valid hold of the latest process, or null. Only this one can have been
// told to anyone: a process orders one hold at a time, and tells of it after it
// saw itself still the owner.
const std::pair<const Ballot, Hold>* PendingHold(const EngineState& state);

// The bound below which the rank accepts no ballot.
Ballot ClosedBelow(const EngineState& state);

// The lowest bound that closes `ballot` itself.
Ballot JustAbove(const Ballot& ballot);

}  // namespace wagtailshore::map_switch

#endif  // COORDINATION_MAP_SWITCH_ENGINE_STATE_H_
