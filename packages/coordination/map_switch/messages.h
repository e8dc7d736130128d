#ifndef COORDINATION_MAP_SWITCH_MESSAGES_H_
#define COORDINATION_MAP_SWITCH_MESSAGES_H_

#include <cstdint>
#include <variant>

#include "coordination/map_switch/ballot.h"
#include "coordination/map_switch/engine_state.h"

// What the endpoint processes of one group tell each other about a switch. Any
// message may be lost, late, doubled or overtaken.
namespace wagtailshore::map_switch {

// Proposer to rank: bring the map's experts into spare room.
struct Prepare {
  Ballot ballot;
  MapId map;
};

enum class PrepareResult { kLoaded, kFailed, kRefused };

// Rank to proposer.
struct Prepared {
  Ballot ballot;
  PrepareResult result = PrepareResult::kRefused;
  // The rank's next step.
  uint64_t step = 0;
  // With kRefused: only ballots of a higher round can be accepted.
  uint64_t closed_round = 0;
};

// Proposer to rank: promise to hold at `step`.
struct HoldRequest {
  Ballot ballot;
  MapId map;
  uint64_t step = 0;
};

// Anyone to a rank: say how the ballot stands with you. A rank that has not
// promised refuses the ballot by this.
struct Ask {
  Ballot ballot;
};

// How a ballot stands with a rank. All four are final, but that kAccepted
// becomes kGo or kDead.
enum class Vote {
  // Promised to hold.
  kAccepted,
  // Has not promised and never will.
  kRefused,
  // The map is chosen: every rank has promised.
  kGo,
  // Some rank has refused.
  kDead,
};

struct VoteReply {
  Ballot ballot;
  Vote vote = Vote::kAccepted;
};

using MessageBody =
    std::variant<Prepare, Prepared, HoldRequest, Ask, VoteReply>;

struct Message {
  int from = 0;
  int to = 0;
  // The map that the sender's engine stepped with when it was last read.
  MapInForce in_force;
  uint64_t step = 0;
  MessageBody body;
};

}  // namespace wagtailshore::map_switch

#endif  // COORDINATION_MAP_SWITCH_MESSAGES_H_
