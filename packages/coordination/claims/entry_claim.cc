#include "coordination/claims/entry_claim.h"

#include <algorithm>
#include <utility>

#include "common/invariant.h"

namespace wagtailshore::claims {
namespace {

// Reads of the row per request, not counting those that poll a row in use.
// Bounds the retries after lost answers and write conflicts.
constexpr uint32_t kMaxRowReads = 12;
constexpr common::Duration kRetryAfter = common::seconds(1);
// Time before the deadline at which an attempt times out, so that the row can
// still be read and changed to not_run; at most a quarter of the time left.
constexpr common::Duration kCleanupTime = common::milliseconds(500);
constexpr int kCleanupDivisor = 4;

}  // namespace

EntryClaim::EntryClaim(EntryClaimOptions options)
    : options_(std::move(options)), row_reads_left_(kMaxRowReads) {}

EntryAction EntryClaim::Start(common::Time now) {
  WS_INVARIANT(step_ == Step::kIdle);
  return LookUp(now);
}

common::Duration EntryClaim::StepTimeout(common::Time now) const {
  const common::Duration left =
      std::max(options_.deadline - now, common::Duration::zero());
  if (step_ != Step::kDispatched) {
    return left;
  }
  return left -
         std::min<common::Duration>(kCleanupTime, left / kCleanupDivisor);
}

EntryAction EntryClaim::LookUp(common::Time now) {
  if (now >= options_.deadline) {
    return Refuse(refusal::Code::kDeadlineExceeded);
  }
  if (row_reads_left_ == 0) {
    return Refuse(refusal::Code::kStoreUnavailable);
  }
  --row_reads_left_;
  step_ = Step::kReading;
  return table::ReadRow{options_.row_key};
}

EntryAction EntryClaim::OnRead(const table::ReadOutcome& outcome,
                               common::Time now) {
  WS_INVARIANT(step_ == Step::kReading);
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
         .message =
             "the key was already used for a request with other content"}});
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
  step_ = Step::kReading;
  return Wait{std::min(options_.poll_interval, until - now)};
}

EntryAction EntryClaim::OnClaimedRow(const table::Row& row,
                                     const ClaimRow& claim,
                                     common::Time now) {
  const bool own = row.token == last_write_.token;
  if (!own) {
    may_run_ = true;
  }
  if (!MayStartAttempt(now)) {
    return own ? GiveUp(refusal::Code::kNoEndpoint, now)
               : RefuseUnknown(
                     "another entry is processing a request with this key");
  }
  if (own) {
    return Claim(row, claim.attempt + 1);
  }
  if (row.version != other_claim_version_) {
    other_claim_version_ = row.version;
    other_claim_since_ = now;
  }
  const common::Time until = other_claim_since_ + options_.wait_for_claimed;
  if (now >= until) {
    return Claim(row, claim.attempt + 1);
  }
  step_ = Step::kReading;
  return Wait{
      std::min({options_.poll_interval, until - now, options_.deadline - now})};
}

EntryAction EntryClaim::OnNotRunRow(const table::Row& row,
                                    const ClaimRow& claim,
                                    common::Time now) {
  // No attempt started before this version, and no attempt claimed before it
  // can start from now on.
  may_run_ = false;
  if (now >= options_.deadline) {
    return Refuse(refusal::Code::kDeadlineExceeded);
  }
  if (!MayStartAttempt(now)) {
    return Refuse(refusal::Code::kNoEndpoint);
  }
  return Claim(row, claim.attempt + 1);
}

bool EntryClaim::MayStartAttempt(common::Time now) const {
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
    // The entry whose write took effect may have the request run.
    may_run_ = true;
    return LookUp(now);
  }
  if (std::holds_alternative<table::Unavailable>(outcome)) {
    // Read the row again to find out whether the write took effect.
    return LookUp(now);
  }
  // With the new claim, no earlier attempt can start.
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
  // An endpoint's refusal does not prove that the request does not run, as
  // another copy of the attempt may still arrive. Only a later write of the row
  // proves it.
  return LookUp(now);
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
  // Polling is bounded by time and does not count against the reads left.
  WS_INVARIANT(step_ == Step::kReading);
  if (now >= options_.deadline) {
    return Refuse(refusal::Code::kDeadlineExceeded);
  }
  return table::ReadRow{options_.row_key};
}

EntryAction EntryClaim::Refuse(refusal::Code code) {
  // If the table is unavailable, not_run covers this request only, not earlier
  // ones with the same key.
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
