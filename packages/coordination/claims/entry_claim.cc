#include "coordination/claims/entry_claim.h"

#include <algorithm>
#include <utility>

#include "common/invariant.h"

namespace wagtailshore::claims {
namespace {

// Table operations that one request may spend on lost answers and races.
constexpr uint32_t kMaxTableTries = 12;
constexpr common::Duration kRetryAfter = common::seconds(1);
// What an attempt leaves of the time until the deadline, so that the row can
// still be read and given up when the attempt is lost; at most a quarter.
constexpr common::Duration kReserve = common::milliseconds(500);
constexpr int kReserveShare = 4;

}  // namespace

EntryClaim::EntryClaim(EntryClaimOptions options)
    : options_(std::move(options)), tries_left_(kMaxTableTries) {}

EntryAction EntryClaim::Start(common::Time now) {
  WS_INVARIANT(step_ == Step::kIdle);
  return Look(now);
}

common::Duration EntryClaim::StepTimeout(common::Time now) const {
  const common::Duration left =
      std::max(options_.deadline - now, common::Duration::zero());
  if (step_ != Step::kDispatched) {
    return left;
  }
  return left - std::min<common::Duration>(kReserve, left / kReserveShare);
}

EntryAction EntryClaim::Look(common::Time now) {
  if (now >= options_.deadline) {
    return Refuse(refusal::Code::kDeadlineExceeded);
  }
  if (tries_left_ == 0) {
    return Refuse(refusal::Code::kStoreUnavailable);
  }
  --tries_left_;
  step_ = Step::kLooking;
  return table::ReadRow{options_.row_key};
}

EntryAction EntryClaim::OnRead(const table::ReadOutcome& outcome,
                               common::Time now) {
  WS_INVARIANT(step_ == Step::kLooking);
  if (const auto* read = std::get_if<table::RowRead>(&outcome)) {
    return OnRow(read->row, now);
  }
  return Refuse(refusal::Code::kStoreUnavailable);
}

EntryAction EntryClaim::OnRow(const table::Row& row, common::Time now) {
  row_read_ = true;
  if (row.version == 0) {
    return OnNotRunRow(row, ClaimRow{}, now);
  }
  const absl::StatusOr<ClaimRow> claim = Parse(row.value);
  if (!claim.ok()) {
    return RefuseUnknown("the record of this key cannot be read");
  }
  if (claim->request_digest != options_.request_digest) {
    return Finish(CallRefused{
        {.code = refusal::Code::kKeyReused,
         .ran = refusal::Ran::kNotRun,
         .message = "the key belongs to a request with another content"}});
  }
  switch (claim->state) {
    case ClaimState::kDone:
      return Finish(CallAnswered{claim->answer, /*replayed=*/true});
    case ClaimState::kUnknown:
      return RefuseUnknown("the call started and its answer was lost");
    case ClaimState::kStarted:
      return OnStartedRow(now);
    case ClaimState::kClaimed:
      return OnClaimedRow(row, *claim, now);
    case ClaimState::kNotRun:
      return OnNotRunRow(row, *claim, now);
  }
  return RefuseUnknown("the record of this key cannot be read");
}

EntryAction EntryClaim::OnStartedRow(common::Time now) {
  may_run_ = true;
  if (!started_since_.has_value()) {
    started_since_ = now;
  }
  const common::Time until =
      std::min(options_.deadline, *started_since_ + options_.wait_for_started);
  if (now >= until) {
    return RefuseUnknown("the call started and has not ended");
  }
  step_ = Step::kLooking;
  return Wait{std::min(options_.poll_interval, until - now)};
}

EntryAction EntryClaim::OnClaimedRow(const table::Row& row,
                                     const ClaimRow& claim,
                                     common::Time now) {
  const bool own = row.token == last_write_.token;
  if (!own) {
    may_run_ = true;
  }
  if (!MayTryAgain(now)) {
    return own ? GiveUp(refusal::Code::kNoEndpoint, now)
               : RefuseUnknown("the key is served through another entry");
  }
  if (own) {
    return Claim(row, claim.attempt + 1);
  }
  if (row.version != other_version_) {
    other_version_ = row.version;
    other_since_ = now;
  }
  const common::Time until = other_since_ + options_.wait_for_claimed;
  if (now >= until) {
    return Claim(row, claim.attempt + 1);
  }
  step_ = Step::kLooking;
  return Wait{
      std::min({options_.poll_interval, until - now, options_.deadline - now})};
}

EntryAction EntryClaim::OnNotRunRow(const table::Row& row,
                                    const ClaimRow& claim,
                                    common::Time now) {
  // Nothing has started before this version, and nothing claimed before it can
  // start any more.
  may_run_ = false;
  if (now >= options_.deadline) {
    return Refuse(refusal::Code::kDeadlineExceeded);
  }
  if (!MayTryAgain(now)) {
    return Refuse(refusal::Code::kNoEndpoint);
  }
  return Claim(row, claim.attempt + 1);
}

bool EntryClaim::MayTryAgain(common::Time now) const {
  return attempts_ < options_.max_attempts && now < options_.deadline;
}

EntryAction EntryClaim::Claim(const table::Row& row, uint32_t attempt) {
  step_ = Step::kClaiming;
  own_row_ = {.state = ClaimState::kClaimed,
              .attempt = attempt,
              .request_digest = options_.request_digest};
  last_write_ = {.key = options_.row_key,
                 .expected_version = row.version,
                 .value = Serialize(own_row_),
                 .token = options_.new_token()};
  return last_write_;
}

EntryAction EntryClaim::OnWrite(const table::WriteOutcome& outcome,
                                common::Time now) {
  if (step_ == Step::kClaiming) {
    return OnClaimWritten(outcome, now);
  }
  WS_INVARIANT(step_ == Step::kGivingUp);
  return OnNotRunWritten(outcome, now);
}

EntryAction EntryClaim::OnClaimWritten(const table::WriteOutcome& outcome,
                                       common::Time now) {
  const auto* conflict = std::get_if<table::WriteConflict>(&outcome);
  if (conflict != nullptr && conflict->current.token != last_write_.token) {
    // Whoever won the row may have the request run.
    may_run_ = true;
    return Look(now);
  }
  if (std::holds_alternative<table::Unavailable>(outcome)) {
    // Reading the row again tells who won and whether the write took effect.
    return Look(now);
  }
  // The new claim fences off every attempt before it.
  may_run_ = false;
  if (now >= options_.deadline) {
    return Refuse(refusal::Code::kDeadlineExceeded);
  }
  ++attempts_;
  may_run_ = true;
  step_ = Step::kDispatched;
  return SendDispatch{{.row_key = options_.row_key,
                       .row_version = last_write_.expected_version + 1,
                       .row = own_row_}};
}

EntryAction EntryClaim::OnDispatched(const DispatchOutcome& outcome,
                                     common::Time now) {
  WS_INVARIANT(step_ == Step::kDispatched);
  if (const auto* answered = std::get_if<AttemptAnswered>(&outcome)) {
    return Finish(CallAnswered{answered->answer});
  }
  if (std::holds_alternative<AttemptUnknown>(outcome)) {
    return RefuseUnknown("the call started and its answer was lost");
  }
  if (std::holds_alternative<NoEndpoint>(outcome)) {
    may_run_ = false;
    return GiveUp(refusal::Code::kNoEndpoint, now);
  }
  if (std::holds_alternative<DispatchNotSent>(outcome)) {
    may_run_ = false;
  }
  // An endpoint's refusal is not enough to say not_run: another copy of the
  // attempt may still be on its way. Only a later write of the row is.
  return Look(now);
}

EntryAction EntryClaim::GiveUp(refusal::Code code, common::Time now) {
  if (now >= options_.deadline) {
    return Refuse(refusal::Code::kDeadlineExceeded);
  }
  give_up_code_ = code;
  attempts_ = options_.max_attempts;
  step_ = Step::kGivingUp;
  ClaimRow row = own_row_;
  row.state = ClaimState::kNotRun;
  last_write_ = {.key = options_.row_key,
                 .expected_version = last_write_.expected_version + 1,
                 .value = Serialize(row),
                 .token = options_.new_token()};
  return last_write_;
}

EntryAction EntryClaim::OnNotRunWritten(const table::WriteOutcome& outcome,
                                        common::Time now) {
  const auto* conflict = std::get_if<table::WriteConflict>(&outcome);
  if (std::holds_alternative<table::RowWritten>(outcome) ||
      (conflict != nullptr && conflict->current.token == last_write_.token)) {
    may_run_ = false;
    return Refuse(give_up_code_);
  }
  if (conflict != nullptr) {
    return OnRow(conflict->current, now);
  }
  return Refuse(refusal::Code::kStoreUnavailable);
}

EntryAction EntryClaim::OnWaited(common::Time now) {
  // Waiting is bounded by time, not by the tries left for lost answers.
  WS_INVARIANT(step_ == Step::kLooking);
  if (now >= options_.deadline) {
    return Refuse(refusal::Code::kDeadlineExceeded);
  }
  return table::ReadRow{options_.row_key};
}

EntryAction EntryClaim::Refuse(refusal::Code code) {
  // Without the table, not_run speaks of this sending of the key only.
  const bool key_unread =
      !row_read_ && code != refusal::Code::kStoreUnavailable;
  if (may_run_ || key_unread) {
    return RefuseUnknown("the call may have run");
  }
  return Finish(CallRefused{{.code = code,
                             .ran = refusal::Ran::kNotRun,
                             .message = "the call did not run",
                             .retry_after = kRetryAfter}});
}

EntryAction EntryClaim::RefuseUnknown(std::string message) {
  return Finish(CallRefused{{.code = refusal::Code::kOutcomeUnknown,
                             .ran = refusal::Ran::kUnknown,
                             .message = std::move(message),
                             .retry_after = kRetryAfter}});
}

EntryAction EntryClaim::Finish(EntryAction final_action) {
  WS_INVARIANT(step_ != Step::kFinished) << "a request is answered once";
  step_ = Step::kFinished;
  return final_action;
}

}  // namespace wagtailshore::claims
