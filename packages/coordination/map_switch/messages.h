#ifndef COORDINATION_MAP_SWITCH_MESSAGES_H_
#define COORDINATION_MAP_SWITCH_MESSAGES_H_

#include <cstdint>
#include <variant>

#include "coordination/map_switch/ballot.h"
#include "coordination/map_switch/engine_state.h"

// Messages between the endpoint processes of one group about a map switch. Any
// message may be lost, delayed, duplicated or reordered.
namespace wagtailshore::map_switch {

// Proposer to rank: load the map's experts into spare memory.
struct Prepare {
  Ballot ballot;
  MapId map;
};

enum class PrepareResult { kLoaded, kFailed, kRefused };

// Rank to proposer: the answer to Prepare.
struct PrepareReply {
  Ballot ballot;
  PrepareResult result = PrepareResult::kRefused;
  // The rank's next step.
  uint64_t step = 0;
  // With kRefused: only ballots of a higher round can be accepted.
  uint64_t refused_round = 0;
};

// Proposer to rank: promise to hold at `step`.
struct HoldRequest {
  Ballot ballot;
  MapId map;
  uint64_t step = 0;
};

// Any process to a rank: asks for the rank's vote on the ballot. A rank that
// has not promised to hold refuses the ballot when it receives this.
struct VoteRequest {
  Ballot ballot;
};

// A rank's vote on a ballot. All votes are final, except that kAccepted later
// becomes kChosen or kAborted.
enum class Vote {
  // Promised to hold.
  kAccepted,
  // Has not promised to hold and never will.
  kRefused,
  // Every rank has promised to hold, so the map is chosen.
  kChosen,
  // Some rank has refused the ballot.
  kAborted,
};

struct VoteReply {
  Ballot ballot;
  Vote vote = Vote::kAccepted;
};

using MessageBody =
    std::variant<Prepare, PrepareReply, HoldRequest, VoteRequest, VoteReply>;

struct Message {
  int from = 0;
  int to = 0;
  // The map in force and the next step at the sender's engine when its state
  // was last read.
  MapInForce in_force;
  uint64_t step = 0;
  MessageBody body;
};

}  // namespace wagtailshore::map_switch

#endif  // COORDINATION_MAP_SWITCH_MESSAGES_H_
