#ifndef COORDINATION_MAP_SWITCH_ENGINE_STATE_H_
#define COORDINATION_MAP_SWITCH_ENGINE_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <variant>

#include "coordination/map_switch/ballot.h"

// The state that one rank's engine keeps about map switches, and the orders
// that change it. The engine outlives its endpoint process, so promises are
// stored here. Every order carries its ballot and the fencing number of the
// process that sent it, and orders may be repeated and reordered: an engine
// that ignores fencing numbers may carry out a late order of a dead process,
// and the state still shows which promises are valid.
namespace wagtailshore::map_switch {

// The map that an engine uses.
struct MapInForce {
  MapId map;
  // The ballot by which it was chosen, and the first step that used it.
  Ballot ballot;
  uint64_t since_step = 0;

  bool operator==(const MapInForce&) const = default;
};

// A promise not to start `step` until the ballot is decided.
struct Hold {
  MapId map;
  uint64_t step = 0;
  // Highest fencing number among the processes that ordered the hold.
  uint64_t fencing_number = 0;
  // Whether the ballot was chosen, so that its map is used from `step` on.
  bool decided = false;

  bool operator==(const Hold&) const = default;
};

enum class LoadState { kLoading, kLoaded, kFailed };

struct EngineState {
  // The next step that has not been started.
  uint64_t step = 0;
  MapInForce in_force;
  // Highest fencing number of any TakeOver order.
  uint64_t owner = 0;
  std::map<Ballot, Hold> holds;
  // For each fencing number, the bound below which that process refuses
  // ballots. Bounds only rise.
  std::map<uint64_t, Ballot> refused_below;
  // Maps being loaded into spare memory.
  std::map<Ballot, LoadState> loads;
};

// Makes the sending process the owner of the engine. Precedes its other orders.
struct TakeOver {};
// Loads the experts that the map moves to this rank into spare memory.
struct LoadMap {
  Ballot ballot;
  MapId map;
};
// Promises to hold at `step`, and refuses every lower ballot. If `step` has
// already been started, adds no new hold.
struct PlaceHold {
  Ballot ballot;
  MapId map;
  uint64_t step = 0;
};
// Refuses all ballots below the bound.
struct RefuseBelow {
  Ballot bound;
};
// Marks the ballot as chosen: its map is used from the hold's step on.
struct Decide {
  Ballot ballot;
};
// Removes a hold that is not valid, or that only earlier processes ordered.
struct Release {
  Ballot ballot;
};
// Returns the state without a change.
struct ReadState {};

using OrderBody = std::variant<ReadState,
                               TakeOver,
                               LoadMap,
                               PlaceHold,
                               RefuseBelow,
                               Decide,
                               Release>;

// An order to the engine. The answer is the engine's state right after it.
struct Order {
  // Unique among the orders of one process, so that late answers can be
  // ignored.
  uint64_t id = 0;
  uint64_t fencing_number = 0;
  OrderBody body;
};

// Whether the promise is valid: neither the process that ordered it nor a later
// one has refused the ballot, and the map in force was chosen by a lower
// ballot.
bool IsValid(const EngineState& state, const Ballot& ballot, const Hold& hold);

// Returns the valid hold with the highest fencing number, or null. Only this
// hold can have been reported to a peer: a process orders one hold at a time,
// and reports it only after the engine has confirmed the process as its owner.
const std::pair<const Ballot, Hold>* PendingHold(const EngineState& state);

// Returns the bound below which the rank accepts no ballot.
Ballot RefusalBound(const EngineState& state);

// Returns the lowest bound that refuses `ballot` itself.
Ballot JustAbove(const Ballot& ballot);

}  // namespace wagtailshore::map_switch

#endif  // COORDINATION_MAP_SWITCH_ENGINE_STATE_H_
