#ifndef COORDINATION_MAP_SWITCH_PARTICIPANT_H_
#define COORDINATION_MAP_SWITCH_PARTICIPANT_H_

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "common/time.h"
#include "coordination/map_switch/engine_state.h"
#include "coordination/map_switch/messages.h"

namespace wagtailshore::map_switch {

using Action = std::variant<Message, Order>;
using Actions = std::vector<Action>;

struct ParticipantOptions {
  int rank = 0;
  // Ranks in the group.
  int ranks = 1;
  // Unique among the processes of the rank; later processes have higher
  // numbers.
  uint64_t fencing_number = 1;
  // Interval between reads of the engine's state.
  common::Duration read_interval = common::milliseconds(20);
  // How long to wait for the answer to an order.
  common::Duration order_timeout = common::milliseconds(100);
  // Interval between vote requests to peers about a pending promise.
  common::Duration vote_request_interval = common::milliseconds(50);
  // How long to wait for the decision on a promise, while its step is not due,
  // before peers are asked for their votes.
  common::Duration decision_timeout = common::seconds(2);
};

// One rank's part in map switches, run by the endpoint process beside the
// rank's engine. A ballot is chosen when every rank has promised to hold for
// it, and aborted when one rank has refused it. Any rank can establish either
// by collecting votes, so no decision has to be stored and no single process is
// needed to make it. Does no I/O.
class Participant {
 public:
  explicit Participant(const ParticipantOptions& options);

  // To be called about every `read_interval`.
  Actions Tick(common::Time now);
  Actions OnMessage(const Message& message, common::Time now);
  // Handles the answer to order `order_id`: the engine's state after it.
  Actions OnEngineState(uint64_t order_id,
                        const EngineState& state,
                        common::Time now);

  // Whether the engine's state is known and this process is the engine's owner.
  bool ready() const { return ready_; }
  // Whether a later process of the rank has taken over, so that this one sends
  // nothing more.
  bool superseded() const { return superseded_; }
  // The engine's state as last read; valid once ready().
  const EngineState& state() const { return state_; }
  // Returns a message from this rank with `body` and the sender's fields.
  Message MakeMessage(int to, const MessageBody& body) const;
  // Highest round of any ballot seen.
  uint64_t highest_round() const { return highest_round_; }

 private:
  void OnPrepare(const Message& message, const Prepare& prepare);
  void OnHoldRequest(const Message& message, const HoldRequest& request);
  void OnVoteRequest(const Message& message, const VoteRequest& request);
  void OnVote(int from, const VoteReply& reply);
  void CheckPeer(const Message& message) const;
  void CheckEngine() const;

  // Returns the vote on `ballot` if the engine's state and the known outcomes
  // determine it.
  std::optional<Vote> KnownVote(const Ballot& ballot) const;
  bool CanAccept(const Ballot& ballot, const MapId& map) const;
  void RecordOutcome(const Ballot& ballot, Vote outcome);
  void RecordIfAllAccepted();
  void Reconcile(common::Time now);
  void RequestVotes(common::Time now);
  void Refuse(const Ballot& ballot);
  // Queues the order until no other one is in flight. Replaces a queued order
  // of the same kind.
  void QueueOrder(const OrderBody& body);
  void SendOrder(const OrderBody& body, common::Time now);
  // Whether the order, which may have been queued a while ago, breaks no
  // promise.
  bool KeepsPromises(const OrderBody& body) const;
  void SendNextOrder(common::Time now);
  void Reply(int to, const MessageBody& body);
  Actions TakeActions();

  ParticipantOptions options_;
  bool ready_ = false;
  bool superseded_ = false;
  EngineState state_;
  // Highest bound below which this process has ordered ballots to be refused,
  // acknowledged or not. It makes no promise for a lower ballot.
  Ballot ordered_refusal_bound_;
  std::map<Ballot, Vote> outcomes_;
  // The ballot whose promises are counted, and the ranks known to have
  // promised.
  Ballot counted_ballot_;
  std::set<int> accepted_ranks_;
  common::Time pending_since_{};
  common::Time next_vote_request_{};
  uint64_t highest_round_ = 0;

  std::vector<OrderBody> queued_orders_;
  uint64_t last_order_id_ = 0;
  bool order_in_flight_ = false;
  common::Time order_sent_at_{};
  common::Time next_read_{};
  Actions actions_;
};

}  // namespace wagtailshore::map_switch

#endif  // COORDINATION_MAP_SWITCH_PARTICIPANT_H_
