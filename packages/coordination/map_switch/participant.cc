#include "coordination/map_switch/participant.h"

#include <algorithm>
#include <utility>

#include "common/invariant.h"

namespace wagtailshore::map_switch {
namespace {

// Outcomes kept to answer late vote requests of peers.
constexpr size_t kMaxStoredOutcomes = 64;

}  // namespace

Participant::Participant(const ParticipantOptions& options)
    : options_(options) {}

Actions Participant::Tick(common::Time now) {
  if (order_in_flight_ && now - order_sent_at_ >= options_.order_timeout) {
    order_in_flight_ = false;
  }
  if (ready_) {
    Reconcile(now);
    RequestVotes(now);
  }
  SendNextOrder(now);
  return TakeActions();
}

Actions Participant::OnMessage(const Message& message, common::Time now) {
  // Any answer might break a promise of the engine that is not known yet.
  if (!ready_) {
    return {};
  }
  CheckPeer(message);
  if (const auto* prepare = std::get_if<Prepare>(&message.body)) {
    OnPrepare(message, *prepare);
  } else if (const auto* hold = std::get_if<HoldRequest>(&message.body)) {
    OnHoldRequest(message, *hold);
  } else if (const auto* request = std::get_if<VoteRequest>(&message.body)) {
    OnVoteRequest(message, *request);
  } else if (const auto* vote = std::get_if<VoteReply>(&message.body)) {
    OnVote(message.from, *vote);
  } else if (const auto* prepared = std::get_if<PrepareReply>(&message.body)) {
    // After a restart, the next ballot must be above those of the previous
    // process, which this one does not know.
    highest_round_ = std::max(highest_round_, prepared->refused_round);
  }
  SendNextOrder(now);
  return TakeActions();
}

Actions Participant::OnEngineState(uint64_t order_id,
                                   const EngineState& state,
                                   common::Time now) {
  // An answer to an earlier order may contain an older state.
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
  highest_round_ = std::max(highest_round_, RefusalBound(state).round);
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
  PrepareReply reply{.ballot = prepare.ballot, .step = state_.step};
  const auto load = state_.loads.find(prepare.ballot);
  if (!CanAccept(prepare.ballot, prepare.map)) {
    reply.refused_round = highest_round_;
  } else if (load == state_.loads.end()) {
    QueueOrder(LoadMap{.ballot = prepare.ballot, .map = prepare.map});
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
  if (const auto vote = KnownVote(request.ballot)) {
    Reply(message.from, VoteReply{.ballot = request.ballot, .vote = *vote});
    return;
  }
  const auto load = state_.loads.find(request.ballot);
  const bool loaded =
      load != state_.loads.end() && load->second == LoadState::kLoaded;
  if (loaded && CanAccept(request.ballot, request.map) &&
      state_.step < request.step) {
    QueueOrder(PlaceHold{
        .ballot = request.ballot, .map = request.map, .step = request.step});
    return;
  }
  Refuse(request.ballot);
}

void Participant::OnVoteRequest(const Message& message,
                                const VoteRequest& request) {
  highest_round_ = std::max(highest_round_, request.ballot.round);
  if (const auto vote = KnownVote(request.ballot)) {
    Reply(message.from, VoteReply{.ballot = request.ballot, .vote = *vote});
    return;
  }
  Refuse(request.ballot);
}

void Participant::OnVote(int from, const VoteReply& reply) {
  if (reply.vote == Vote::kChosen) {
    RecordOutcome(reply.ballot, Vote::kChosen);
    return;
  }
  if (reply.vote != Vote::kAccepted) {
    RecordOutcome(reply.ballot, Vote::kAborted);
    return;
  }
  const auto* pending = PendingHold(state_);
  if (pending == nullptr || pending->first != reply.ballot) {
    return;
  }
  if (counted_ballot_ != reply.ballot) {
    counted_ballot_ = reply.ballot;
    accepted_ranks_.clear();
  }
  accepted_ranks_.insert(from);
  RecordIfAllAccepted();
}

void Participant::CheckPeer(const Message& message) const {
  const MapInForce& own = state_.in_force;
  const MapInForce& peer = message.in_force;
  if (own.map.version == peer.map.version) {
    WS_INVARIANT(own == peer)
        << "ranks " << options_.rank << " and " << message.from
        << " use different maps for version " << own.map.version;
    return;
  }
  // The rank with the older map must not have started the first step of the
  // newer one.
  const bool peer_older = peer.map.version < own.map.version;
  const uint64_t older_step = peer_older ? message.step : state_.step;
  const uint64_t newer_since = peer_older ? own.since_step : peer.since_step;
  WS_INVARIANT(older_step <= newer_since)
      << "rank " << (peer_older ? message.from : options_.rank)
      << " started a step after " << newer_since
      << " with the older map of versions " << own.map.version << " and "
      << peer.map.version;
}

void Participant::CheckEngine() const {
  for (const auto& [ballot, hold] : state_.holds) {
    WS_INVARIANT(hold.decided || !IsValid(state_, ballot, hold) ||
                 state_.step <= hold.step)
        << "rank " << options_.rank << " started held step " << hold.step
        << " without a decision";
  }
}

std::optional<Vote> Participant::KnownVote(const Ballot& ballot) const {
  if (ballot == state_.in_force.ballot) {
    return Vote::kChosen;
  }
  if (const auto outcome = outcomes_.find(ballot); outcome != outcomes_.end()) {
    return outcome->second;
  }
  const auto hold = state_.holds.find(ballot);
  if (hold != state_.holds.end() && IsValid(state_, ballot, hold->second)) {
    if (hold->second.decided) {
      return Vote::kChosen;
    }
    // An unacknowledged refusal by this process or its predecessor may still
    // reach the engine.
    if (ordered_refusal_bound_ > ballot ||
        hold->second.fencing_number != options_.fencing_number) {
      return std::nullopt;
    }
    return Vote::kAccepted;
  }
  // A ballot below that of the map in force may have been chosen long ago. Only
  // refusals by this process are final: after one by an earlier process, an
  // order of this one may still place a hold.
  const auto refused = state_.refused_below.find(options_.fencing_number);
  if (ballot > state_.in_force.ballot &&
      refused != state_.refused_below.end() && ballot < refused->second) {
    return Vote::kRefused;
  }
  return std::nullopt;
}

bool Participant::CanAccept(const Ballot& ballot, const MapId& map) const {
  const auto* pending = PendingHold(state_);
  return (pending == nullptr || pending->first == ballot) &&
         ballot >= RefusalBound(state_) && ballot >= ordered_refusal_bound_ &&
         map.version == state_.in_force.map.version + 1;
}

void Participant::RecordOutcome(const Ballot& ballot, Vote outcome) {
  const auto [known, inserted] = outcomes_.emplace(ballot, outcome);
  WS_INVARIANT(known->second == outcome)
      << "ballot of round " << ballot.round << " is both chosen and aborted";
  if (outcomes_.size() > kMaxStoredOutcomes) {
    outcomes_.erase(outcomes_.begin());
  }
}

void Participant::RecordIfAllAccepted() {
  const auto* pending = PendingHold(state_);
  if (pending == nullptr || pending->first != counted_ballot_ ||
      KnownVote(counted_ballot_) != Vote::kAccepted) {
    return;
  }
  accepted_ranks_.insert(options_.rank);
  if (std::ssize(accepted_ranks_) == options_.ranks) {
    RecordOutcome(counted_ballot_, Vote::kChosen);
  }
}

void Participant::Reconcile(common::Time now) {
  if (now >= next_read_) {
    next_read_ = now + options_.read_interval;
    QueueOrder(ReadState{});
  }
  const auto* pending = PendingHold(state_);
  for (const auto& [ballot, hold] : state_.holds) {
    if (pending == nullptr || pending->first != ballot) {
      QueueOrder(Release{ballot});
      continue;
    }
    const auto outcome = outcomes_.find(ballot);
    if (outcome == outcomes_.end()) {
      if (hold.fencing_number != options_.fencing_number &&
          ballot >= ordered_refusal_bound_) {
        QueueOrder(
            PlaceHold{.ballot = ballot, .map = hold.map, .step = hold.step});
      }
    } else if (outcome->second == Vote::kAborted) {
      Refuse(ballot);
    } else if (!hold.decided) {
      QueueOrder(Decide{ballot});
    }
  }
  const auto refused = state_.refused_below.find(options_.fencing_number);
  if (ordered_refusal_bound_ > state_.in_force.ballot &&
      (refused == state_.refused_below.end() ||
       refused->second < ordered_refusal_bound_)) {
    QueueOrder(RefuseBelow{ordered_refusal_bound_});
  }
}

void Participant::RequestVotes(common::Time now) {
  const auto* pending = PendingHold(state_);
  if (pending == nullptr || pending->second.decided ||
      now < next_vote_request_) {
    return;
  }
  const bool due = state_.step >= pending->second.step;
  if (!due && now - pending_since_ < options_.decision_timeout) {
    return;
  }
  next_vote_request_ = now + options_.vote_request_interval;
  for (int rank = 0; rank < options_.ranks; ++rank) {
    if (rank != options_.rank) {
      Reply(rank, VoteRequest{pending->first});
    }
  }
  if (options_.ranks == 1) {
    counted_ballot_ = pending->first;
    RecordIfAllAccepted();
  }
}

void Participant::Refuse(const Ballot& ballot) {
  const auto* pending = PendingHold(state_);
  const bool decided = outcomes_.contains(ballot);
  // A pending promise must be decided before a higher ballot is refused.
  if (ballot <= state_.in_force.ballot ||
      (pending != nullptr && pending->first <= ballot && !decided)) {
    return;
  }
  ordered_refusal_bound_ = std::max(ordered_refusal_bound_, JustAbove(ballot));
  QueueOrder(RefuseBelow{ordered_refusal_bound_});
}

void Participant::QueueOrder(const OrderBody& body) {
  const auto same_kind = [&](const OrderBody& other) {
    return other.index() == body.index();
  };
  std::erase_if(queued_orders_, same_kind);
  queued_orders_.push_back(body);
}

void Participant::SendNextOrder(common::Time now) {
  if (order_in_flight_ || superseded_) {
    return;
  }
  if (!ready_) {
    SendOrder(ReadState{}, now);
    return;
  }
  if (!queued_orders_.empty()) {
    const OrderBody next = queued_orders_.front();
    queued_orders_.erase(queued_orders_.begin());
    SendOrder(next, now);
  }
}

bool Participant::KeepsPromises(const OrderBody& body) const {
  const auto* pending = PendingHold(state_);
  if (const auto* hold = std::get_if<PlaceHold>(&body)) {
    return hold->ballot >= ordered_refusal_bound_ &&
           (pending == nullptr || pending->first == hold->ballot);
  }
  if (const auto* release = std::get_if<Release>(&body)) {
    return pending == nullptr || pending->first != release->ballot;
  }
  return true;
}

void Participant::SendOrder(const OrderBody& body, common::Time now) {
  if (!KeepsPromises(body)) {
    return;
  }
  if (const auto* hold = std::get_if<PlaceHold>(&body)) {
    ordered_refusal_bound_ = hold->ballot;
  }
  order_in_flight_ = true;
  order_sent_at_ = now;
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
