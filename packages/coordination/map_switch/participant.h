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
  // Unique among the processes of the rank; a later process has a higher one.
  uint64_t fencing_number = 1;
  // How often the engine is read.
  common::Duration read_interval = common::milliseconds(20);
  // How long an order's answer is waited for.
  common::Duration order_timeout = common::milliseconds(100);
  // How often peers are asked about a promise that is due.
  common::Duration ask_interval = common::milliseconds(50);
  // How long a promise waits for its decision before its step comes.
  common::Duration settle_timeout = common::seconds(2);
};

// One rank's side of a switch, in the endpoint process beside the rank's
// engine. A ballot is chosen when every rank has promised to hold for it, and
// dead when one rank has refused it; both are facts that any rank can collect,
// so no decision has to be stored and no process is needed to make it. Pure.
class Participant {
 public:
  explicit Participant(const ParticipantOptions& options);

  // Call about every `read_interval`.
  Actions Tick(common::Time now);
  Actions OnMessage(const Message& message, common::Time now);
  // The engine carried out order `order_id`, and this is its state after it.
  Actions OnEngineState(uint64_t order_id,
                        const EngineState& state,
                        common::Time now);

  // Whether the engine's state is known and this process owns its orders.
  bool ready() const { return ready_; }
  // Whether a later process of the rank has taken over: this one does nothing
  // more.
  bool superseded() const { return superseded_; }
  // The engine's state as last read; meaningful once ready.
  const EngineState& state() const { return state_; }
  // `body` from this rank, with what every message tells of its sender.
  Message MakeMessage(int to, const MessageBody& body) const;
  // Highest round of any ballot met.
  uint64_t highest_round() const { return highest_round_; }

 private:
  void OnPrepare(const Message& message, const Prepare& prepare);
  void OnHoldRequest(const Message& message, const HoldRequest& request);
  void OnAsk(const Message& message, const Ask& ask);
  void OnVote(int from, const VoteReply& reply);
  void CheckPeer(const Message& message) const;
  void CheckEngine() const;

  // The vote that the engine's state and what was learned fix, if they do.
  std::optional<Vote> FixedVote(const Ballot& ballot) const;
  bool CanAccept(const Ballot& ballot, const MapId& map) const;
  void Settle(const Ballot& ballot, Vote outcome);
  void SettlePending();
  void Reconcile(common::Time now);
  void AskPeers(common::Time now);
  void Close(const Ballot& ballot);
  // Keeps the order for when no other one is in flight.
  void Want(const OrderBody& body);
  void SendOrder(const OrderBody& body, common::Time now);
  // Whether the order, perhaps wanted a while ago, still breaks no promise.
  bool IsTimely(const OrderBody& body) const;
  void SendNextOrder(common::Time now);
  void Reply(int to, const MessageBody& body);
  Actions TakeActions();

  ParticipantOptions options_;
  bool ready_ = false;
  bool superseded_ = false;
  EngineState state_;
  // Bound of everything that this process ordered refused, acknowledged or
  // not: it promises nothing below.
  Ballot ordered_closed_;
  std::map<Ballot, Vote> outcomes_;
  // Ranks known to have promised the pending ballot.
  Ballot counted_ballot_;
  std::set<int> accepted_;
  common::Time pending_since_{};
  common::Time next_ask_{};
  uint64_t highest_round_ = 0;

  std::vector<OrderBody> wanted_;
  uint64_t last_order_id_ = 0;
  bool order_in_flight_ = false;
  common::Time order_sent_{};
  common::Time next_read_{};
  Actions actions_;
};

}  // namespace wagtailshore::map_switch

#endif  // COORDINATION_MAP_SWITCH_PARTICIPANT_H_
