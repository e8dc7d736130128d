#ifndef COORDINATION_MAP_SWITCH_PROPOSER_H_
#define COORDINATION_MAP_SWITCH_PROPOSER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "common/enum_names.h"
#include "common/time.h"
#include "coordination/map_switch/messages.h"

namespace wagtailshore::map_switch {

struct ProposerOptions {
  int rank = 0;
  // Ranks in the group.
  int ranks = 1;
  // Steps between the most advanced rank and the hold: enough for the promises
  // and the decision to arrive before the group reaches the hold.
  uint64_t lead_steps = 32;
  // Interval for repeating requests to ranks that have not answered.
  common::Duration retry_interval = common::milliseconds(50);
  // Time limit for the ranks to load the map.
  common::Duration prepare_timeout = common::seconds(10);
  // Time limit for the ranks to promise to hold. After it, ranks that have not
  // promised are asked for their votes, by which they refuse.
  common::Duration hold_timeout = common::milliseconds(500);
};

// How a proposal ended.
enum class ProposalResult {
  // Every rank uses the map from the hold's step on.
  kChosen,
  // A rank refused, so the map in force stays.
  kAborted,
  // A rank could not load the map in time; no rank was asked to hold.
  kNotLoaded,
};

inline constexpr common::EnumNames<ProposalResult, 3> kProposalResultNames = {{
    {ProposalResult::kChosen, "chosen"},
    {ProposalResult::kAborted, "dead"},
    {ProposalResult::kNotLoaded, "not_loaded"},
}};

// A message body and the rank to which it is sent.
struct Outgoing {
  int to = 0;
  MessageBody body;
};

// Whether `rank` should propose: the lowest live rank does. `live` need not be
// exact: two simultaneous proposers are harmless, because every ballot needs
// the promise of every rank.
bool IsProposer(int rank, const std::set<int>& live);

// Runs one proposal at a time with all ranks, its own included. Holds no state
// that the ranks need: if its process dies, they decide the ballot themselves.
// Does no I/O.
class Proposer {
 public:
  explicit Proposer(const ProposerOptions& options) : options_(options) {}

  // Starts a proposal. `ballot` must have a higher round than any ballot seen.
  // Abandons the proposal in progress, if any.
  std::vector<Outgoing> Propose(const Ballot& ballot,
                                const MapId& map,
                                common::Time now);
  // Handles a rank's answer and returns the messages to send.
  std::vector<Outgoing> OnMessage(const Message& message, common::Time now);
  // Handles timeouts and returns the requests to repeat.
  std::vector<Outgoing> Tick(common::Time now);

  bool busy() const { return phase_ != Phase::kIdle; }
  // How the last proposal ended; empty until the first one has ended.
  const std::optional<ProposalResult>& result() const { return result_; }

 private:
  enum class Phase { kIdle, kPreparing, kHolding, kCollectingVotes };

  void OnPrepared(int from, const PrepareReply& prepared, common::Time now);
  void OnVote(int from, const VoteReply& reply);
  void End(ProposalResult result);
  MessageBody CurrentRequest() const;
  // Sends the current request to the ranks that have not answered in this
  // phase.
  std::vector<Outgoing> SendToUnanswered(common::Time now);
  std::vector<Outgoing> SendToAll(Vote vote) const;
  std::vector<Outgoing> AfterMessage(Phase before, common::Time now);

  ProposerOptions options_;
  Phase phase_ = Phase::kIdle;
  Ballot ballot_;
  MapId map_;
  uint64_t hold_step_ = 0;
  // Highest next step among the ranks that have loaded the map.
  uint64_t highest_step_ = 0;
  std::set<int> answered_ranks_;
  common::Time phase_began_{};
  common::Time next_retry_{};
  std::optional<ProposalResult> result_;
};

}  // namespace wagtailshore::map_switch

#endif  // COORDINATION_MAP_SWITCH_PROPOSER_H_
