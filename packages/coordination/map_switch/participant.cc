#include "coordination/map_switch/participant.h"

#include <algorithm>
#include <utility>

#include "common/invariant.h"

namespace wagtailshore::map_switch {
namespace {

// Outcomes remembered, to answer a peer that asks late.
constexpr size_t kMaxOutcomes = 64;

}  // namespace

Participant::Participant(const ParticipantOptions& options)
    : options_(options) {}

Actions Participant::Tick(common::Time now) {
  if (order_in_flight_ && now - order_sent_ >= options_.order_timeout) {
    order_in_flight_ = false;
  }
  if (ready_) {
    Reconcile(now);
    AskPeers(now);
  }
  SendNextOrder(now);
  return TakeActions();
}

Actions Participant::OnMessage(const Message& message, common::Time now) {
  // Before the engine's promises are known, every answer might break one.
  if (!ready_) {
    return {};
  }
  CheckPeer(message);
  if (const auto* prepare = std::get_if<Prepare>(&message.body)) {
    OnPrepare(message, *prepare);
  } else if (const auto* hold = std::get_if<HoldRequest>(&message.body)) {
    OnHoldRequest(message, *hold);
  } else if (const auto* ask = std::get_if<Ask>(&message.body)) {
    OnAsk(message, *ask);
  } else if (const auto* vote = std::get_if<VoteReply>(&message.body)) {
    OnVote(message.from, *vote);
  } else if (const auto* prepared = std::get_if<Prepared>(&message.body)) {
    // After a restart the next ballot must be above those that it forgot.
    highest_round_ = std::max(highest_round_, prepared->closed_round);
  }
  SendNextOrder(now);
  return TakeActions();
}

Actions Participant::OnEngineState(uint64_t order_id,
                                   const EngineState& state,
                                   common::Time now) {
  // An answer to an earlier order may show an older state.
  if (!order_in_flight_ || order_id != last_order_id_) {
    return {};
  }
  order_in_flight_ = false;
  if (state.owner > options_.fencing_number) {
    ready_ = false;
    superseded_ = true;
    return {};
  }
  if (state.owner < options_.fencing_number) {
    SendOrder(TakeOver{}, now);
    return TakeActions();
  }
  highest_round_ = std::max(highest_round_, ClosedBelow(state).round);
  const auto* before = ready_ ? PendingHold(state_) : nullptr;
  const std::optional<Ballot> pending_before =
      before == nullptr ? std::nullopt : std::optional(before->first);
  ready_ = true;
  state_ = state;
  CheckEngine();
  const auto* pending = PendingHold(state_);
  if (pending != nullptr && pending_before != pending->first) {
    pending_since_ = now;
  }
  Reconcile(now);
  SendNextOrder(now);
  return TakeActions();
}

void Participant::OnPrepare(const Message& message, const Prepare& prepare) {
  highest_round_ = std::max(highest_round_, prepare.ballot.round);
  Prepared reply{.ballot = prepare.ballot, .step = state_.step};
  const auto load = state_.loads.find(prepare.ballot);
  if (!CanAccept(prepare.ballot, prepare.map)) {
    reply.closed_round = highest_round_;
  } else if (load == state_.loads.end()) {
    Want(LoadMap{.ballot = prepare.ballot, .map = prepare.map});
    return;
  } else if (load->second == LoadState::kLoading) {
    return;
  } else {
    reply.result = load->second == LoadState::kLoaded ? PrepareResult::kLoaded
                                                      : PrepareResult::kFailed;
  }
  Reply(message.from, reply);
}

void Participant::OnHoldRequest(const Message& message,
                                const HoldRequest& request) {
  highest_round_ = std::max(highest_round_, request.ballot.round);
  if (const auto vote = FixedVote(request.ballot)) {
    Reply(message.from, VoteReply{.ballot = request.ballot, .vote = *vote});
    return;
  }
  const auto load = state_.loads.find(request.ballot);
  const bool loaded =
      load != state_.loads.end() && load->second == LoadState::kLoaded;
  if (loaded && CanAccept(request.ballot, request.map) &&
      state_.step < request.step) {
    Want(PlaceHold{
        .ballot = request.ballot, .map = request.map, .step = request.step});
    return;
  }
  Close(request.ballot);
}

void Participant::OnAsk(const Message& message, const Ask& ask) {
  highest_round_ = std::max(highest_round_, ask.ballot.round);
  if (const auto vote = FixedVote(ask.ballot)) {
    Reply(message.from, VoteReply{.ballot = ask.ballot, .vote = *vote});
    return;
  }
  Close(ask.ballot);
}

void Participant::OnVote(int from, const VoteReply& reply) {
  if (reply.vote == Vote::kGo) {
    Settle(reply.ballot, Vote::kGo);
    return;
  }
  if (reply.vote != Vote::kAccepted) {
    Settle(reply.ballot, Vote::kDead);
    return;
  }
  const auto* pending = PendingHold(state_);
  if (pending == nullptr || pending->first != reply.ballot) {
    return;
  }
  if (counted_ballot_ != reply.ballot) {
    counted_ballot_ = reply.ballot;
    accepted_.clear();
  }
  accepted_.insert(from);
  SettlePending();
}

void Participant::CheckPeer(const Message& message) const {
  const MapInForce& own = state_.in_force;
  const MapInForce& peer = message.in_force;
  if (own.map.version == peer.map.version) {
    WS_INVARIANT(own == peer)
        << "ranks " << options_.rank << " and " << message.from
        << " use different maps as " << own.map.version;
    return;
  }
  // The rank with the older map must not have started the newer one's step.
  const bool peer_older = peer.map.version < own.map.version;
  const uint64_t older_step = peer_older ? message.step : state_.step;
  const uint64_t newer_since = peer_older ? own.since_step : peer.since_step;
  WS_INVARIANT(older_step <= newer_since)
      << "rank " << (peer_older ? message.from : options_.rank)
      << " started a step after " << newer_since << " with the older map of "
      << own.map.version << " and " << peer.map.version;
}

void Participant::CheckEngine() const {
  for (const auto& [ballot, hold] : state_.holds) {
    WS_INVARIANT(hold.decided || !IsValid(state_, ballot, hold) ||
                 state_.step <= hold.step)
        << "rank " << options_.rank << " stepped past " << hold.step
        << " undecided";
  }
}

std::optional<Vote> Participant::FixedVote(const Ballot& ballot) const {
  if (ballot == state_.in_force.ballot) {
    return Vote::kGo;
  }
  if (const auto outcome = outcomes_.find(ballot); outcome != outcomes_.end()) {
    return outcome->second;
  }
  const auto hold = state_.holds.find(ballot);
  if (hold != state_.holds.end() && IsValid(state_, ballot, hold->second)) {
    if (hold->second.decided) {
      return Vote::kGo;
    }
    // An unacknowledged refusal of this process, or of the one before it, may
    // still reach the engine.
    if (ordered_closed_ > ballot ||
        hold->second.fencing_number != options_.fencing_number) {
      return std::nullopt;
    }
    return Vote::kAccepted;
  }
  // Below the map in force a ballot may have been chosen long ago. A refusal
  // by an earlier process might still be overtaken by this one's own order.
  const auto closed = state_.closed_below.find(options_.fencing_number);
  if (ballot > state_.in_force.ballot && closed != state_.closed_below.end() &&
      ballot < closed->second) {
    return Vote::kRefused;
  }
  return std::nullopt;
}

bool Participant::CanAccept(const Ballot& ballot, const MapId& map) const {
  const auto* pending = PendingHold(state_);
  return (pending == nullptr || pending->first == ballot) &&
         ballot >= ClosedBelow(state_) && ballot >= ordered_closed_ &&
         map.version == state_.in_force.map.version + 1;
}

void Participant::Settle(const Ballot& ballot, Vote outcome) {
  const auto [known, inserted] = outcomes_.emplace(ballot, outcome);
  WS_INVARIANT(known->second == outcome)
      << "ballot of round " << ballot.round << " is both chosen and dead";
  if (outcomes_.size() > kMaxOutcomes) {
    outcomes_.erase(outcomes_.begin());
  }
}

void Participant::SettlePending() {
  const auto* pending = PendingHold(state_);
  if (pending == nullptr || pending->first != counted_ballot_ ||
      FixedVote(counted_ballot_) != Vote::kAccepted) {
    return;
  }
  accepted_.insert(options_.rank);
  if (std::ssize(accepted_) == options_.ranks) {
    Settle(counted_ballot_, Vote::kGo);
  }
}

void Participant::Reconcile(common::Time now) {
  if (now >= next_read_) {
    next_read_ = now + options_.read_interval;
    Want(ReadState{});
  }
  const auto* pending = PendingHold(state_);
  for (const auto& [ballot, hold] : state_.holds) {
    if (pending == nullptr || pending->first != ballot) {
      Want(Release{ballot});
      continue;
    }
    const auto outcome = outcomes_.find(ballot);
    if (outcome == outcomes_.end()) {
      if (hold.fencing_number != options_.fencing_number &&
          ballot >= ordered_closed_) {
        Want(PlaceHold{.ballot = ballot, .map = hold.map, .step = hold.step});
      }
    } else if (outcome->second == Vote::kDead) {
      Close(ballot);
    } else if (!hold.decided) {
      Want(Decide{ballot});
    }
  }
  const auto closed = state_.closed_below.find(options_.fencing_number);
  if (ordered_closed_ > state_.in_force.ballot &&
      (closed == state_.closed_below.end() ||
       closed->second < ordered_closed_)) {
    Want(CloseBelow{ordered_closed_});
  }
}

void Participant::AskPeers(common::Time now) {
  const auto* pending = PendingHold(state_);
  if (pending == nullptr || pending->second.decided || now < next_ask_) {
    return;
  }
  const bool due = state_.step >= pending->second.step;
  if (!due && now - pending_since_ < options_.settle_timeout) {
    return;
  }
  next_ask_ = now + options_.ask_interval;
  for (int rank = 0; rank < options_.ranks; ++rank) {
    if (rank != options_.rank) {
      Reply(rank, Ask{pending->first});
    }
  }
  if (options_.ranks == 1) {
    counted_ballot_ = pending->first;
    SettlePending();
  }
}

void Participant::Close(const Ballot& ballot) {
  const auto* pending = PendingHold(state_);
  const bool dead = outcomes_.contains(ballot);
  // A promise is settled before a later ballot is refused.
  if (ballot <= state_.in_force.ballot ||
      (pending != nullptr && pending->first <= ballot && !dead)) {
    return;
  }
  ordered_closed_ = std::max(ordered_closed_, JustAbove(ballot));
  Want(CloseBelow{ordered_closed_});
}

void Participant::Want(const OrderBody& body) {
  const auto same_kind = [&](const OrderBody& other) {
    return other.index() == body.index();
  };
  std::erase_if(wanted_, same_kind);
  wanted_.push_back(body);
}

void Participant::SendNextOrder(common::Time now) {
  if (order_in_flight_ || superseded_) {
    return;
  }
  if (!ready_) {
    SendOrder(ReadState{}, now);
    return;
  }
  if (!wanted_.empty()) {
    const OrderBody next = wanted_.front();
    wanted_.erase(wanted_.begin());
    SendOrder(next, now);
  }
}

bool Participant::IsTimely(const OrderBody& body) const {
  const auto* pending = PendingHold(state_);
  if (const auto* hold = std::get_if<PlaceHold>(&body)) {
    return hold->ballot >= ordered_closed_ &&
           (pending == nullptr || pending->first == hold->ballot);
  }
  if (const auto* release = std::get_if<Release>(&body)) {
    return pending == nullptr || pending->first != release->ballot;
  }
  return true;
}

void Participant::SendOrder(const OrderBody& body, common::Time now) {
  if (!IsTimely(body)) {
    return;
  }
  if (const auto* hold = std::get_if<PlaceHold>(&body)) {
    ordered_closed_ = hold->ballot;
  }
  order_in_flight_ = true;
  order_sent_ = now;
  actions_.push_back(Order{.id = ++last_order_id_,
                           .fencing_number = options_.fencing_number,
                           .body = body});
}

void Participant::Reply(int to, const MessageBody& body) {
  actions_.emplace_back(MakeMessage(to, body));
}

Message Participant::MakeMessage(int to, const MessageBody& body) const {
  return {.from = options_.rank,
          .to = to,
          .in_force = state_.in_force,
          .step = state_.step,
          .body = body};
}

Actions Participant::TakeActions() {
  return std::exchange(actions_, {});
}

}  // namespace wagtailshore::map_switch
