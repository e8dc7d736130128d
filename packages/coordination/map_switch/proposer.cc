#include "coordination/map_switch/proposer.h"

#include <algorithm>

namespace wagtailshore::map_switch {

bool IsProposer(int rank, const std::set<int>& live) {
  return !live.empty() && *live.begin() == rank;
}

std::vector<Outgoing> Proposer::Propose(const Ballot& ballot,
                                        const MapId& map,
                                        common::Time now) {
  ballot_ = ballot;
  map_ = map;
  highest_step_ = 0;
  answered_ranks_.clear();
  phase_ = Phase::kPreparing;
  phase_began_ = now;
  return SendToUnanswered(now);
}

std::vector<Outgoing> Proposer::OnMessage(const Message& message,
                                          common::Time now) {
  const Phase before = phase_;
  if (const auto* prepared = std::get_if<PrepareReply>(&message.body)) {
    OnPrepared(message.from, *prepared, now);
  } else if (const auto* vote = std::get_if<VoteReply>(&message.body)) {
    OnVote(message.from, *vote);
  }
  return AfterMessage(before, now);
}

std::vector<Outgoing> Proposer::Tick(common::Time now) {
  if (phase_ == Phase::kPreparing &&
      now - phase_began_ >= options_.prepare_timeout) {
    End(ProposalResult::kNotLoaded);
  }
  if (phase_ == Phase::kHolding &&
      now - phase_began_ >= options_.hold_timeout) {
    phase_ = Phase::kCollectingVotes;
  }
  if (phase_ == Phase::kIdle || now < next_retry_) {
    return {};
  }
  return SendToUnanswered(now);
}

void Proposer::OnPrepared(int from,
                          const PrepareReply& prepared,
                          common::Time now) {
  if (phase_ != Phase::kPreparing || prepared.ballot != ballot_) {
    return;
  }
  if (prepared.result == PrepareResult::kFailed) {
    End(ProposalResult::kNotLoaded);
    return;
  }
  if (prepared.result == PrepareResult::kRefused) {
    End(ProposalResult::kAborted);
    return;
  }
  highest_step_ = std::max(highest_step_, prepared.step);
  answered_ranks_.insert(from);
  if (std::ssize(answered_ranks_) == options_.ranks) {
    phase_ = Phase::kHolding;
    phase_began_ = now;
    answered_ranks_.clear();
    hold_step_ = highest_step_ + options_.lead_steps;
  }
}

void Proposer::OnVote(int from, const VoteReply& reply) {
  const bool open =
      phase_ == Phase::kHolding || phase_ == Phase::kCollectingVotes;
  if (!open || reply.ballot != ballot_) {
    return;
  }
  if (reply.vote == Vote::kRefused || reply.vote == Vote::kAborted) {
    End(ProposalResult::kAborted);
    return;
  }
  answered_ranks_.insert(from);
  if (reply.vote == Vote::kChosen ||
      std::ssize(answered_ranks_) == options_.ranks) {
    End(ProposalResult::kChosen);
  }
}

void Proposer::End(ProposalResult result) {
  phase_ = Phase::kIdle;
  result_ = result;
}

MessageBody Proposer::CurrentRequest() const {
  switch (phase_) {
    case Phase::kIdle:
    case Phase::kPreparing:
      return Prepare{.ballot = ballot_, .map = map_};
    case Phase::kHolding:
      return HoldRequest{.ballot = ballot_, .map = map_, .step = hold_step_};
    case Phase::kCollectingVotes:
      return VoteRequest{ballot_};
  }
  return VoteRequest{ballot_};
}

std::vector<Outgoing> Proposer::SendToUnanswered(common::Time now) {
  next_retry_ = now + options_.retry_interval;
  std::vector<Outgoing> out;
  for (int rank = 0; rank < options_.ranks; ++rank) {
    if (!answered_ranks_.contains(rank)) {
      out.push_back({.to = rank, .body = CurrentRequest()});
    }
  }
  return out;
}

std::vector<Outgoing> Proposer::SendToAll(Vote vote) const {
  std::vector<Outgoing> out;
  out.reserve(options_.ranks);
  for (int rank = 0; rank < options_.ranks; ++rank) {
    out.push_back(
        {.to = rank, .body = VoteReply{.ballot = ballot_, .vote = vote}});
  }
  return out;
}

std::vector<Outgoing> Proposer::AfterMessage(Phase before, common::Time now) {
  if (before == Phase::kPreparing && phase_ == Phase::kHolding) {
    return SendToUnanswered(now);
  }
  const bool promises_requested =
      before == Phase::kHolding || before == Phase::kCollectingVotes;
  if (promises_requested && phase_ == Phase::kIdle) {
    return SendToAll(result_ == ProposalResult::kChosen ? Vote::kChosen
                                                        : Vote::kAborted);
  }
  return {};
}

}  // namespace wagtailshore::map_switch
