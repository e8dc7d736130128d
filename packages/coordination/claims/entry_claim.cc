#include "coordination/claims/entry_claim.h"

#include <algorithm>
#include <utility>

#include "common/invariant.h"

namespace wagtailshore::claims {
namespace {

// Table operations that one request may spend on lost answers and races.
constexpr uint32_t kMaxTableTries = 12;
constexpr common::Duration kRetryAfter = common::seconds(1);

}  // namespace

EntryClaim::EntryClaim(EntryClaimOptions options)
    : options_(std::move(options)), tries_left_(kMaxTableTries) {}

EntryAction EntryClaim::Start(common::Time now) {
  WS_INVARIANT(step_ == Step::kIdle);
  wait_until_ = std::min(options_.deadline, now + options_.wait_for_other);
  return Look();
}

EntryAction EntryClaim::Look() {
  if (tries_left_ == 0) {
    return StoreUnavailable();
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
  return StoreUnavailable();
}

EntryAction EntryClaim::OnRow(const table::Row& row, common::Time now) {
  if (row.version == 0) {
    return Claim(row, 1);
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
    case ClaimState::kStarted:
      return WaitForOther(now);
    case ClaimState::kClaimed:
    case ClaimState::kNotRun:
      if (attempts_ >= options_.max_attempts) {
        return GiveUp(refusal::Code::kNoEndpoint);
      }
      if (now >= options_.deadline) {
        return GiveUp(refusal::Code::kDeadlineExceeded);
      }
      return Claim(row, claim->attempt + 1);
  }
  return RefuseUnknown("the record of this key cannot be read");
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
    return OnClaimWritten(outcome);
  }
  WS_INVARIANT(step_ == Step::kGivingUp);
  return OnNotRunWritten(outcome, now);
}

EntryAction EntryClaim::OnClaimWritten(const table::WriteOutcome& outcome) {
  const auto* conflict = std::get_if<table::WriteConflict>(&outcome);
  if (std::holds_alternative<table::Unavailable>(outcome) ||
      (conflict != nullptr && conflict->current.token != last_write_.token)) {
    // Reading the row again tells who won and whether a lost write took
    // effect; an own claim found that way is simply claimed anew.
    return Look();
  }
  // The new claim fences off every attempt before it.
  may_start_ = true;
  ++attempts_;
  step_ = Step::kDispatched;
  return SendDispatch{{.row_key = options_.row_key,
                       .row_version = last_write_.expected_version + 1,
                       .row = own_row_}};
}

EntryAction EntryClaim::OnDispatched(const DispatchOutcome& outcome) {
  WS_INVARIANT(step_ == Step::kDispatched);
  if (const auto* answered = std::get_if<AttemptAnswered>(&outcome)) {
    return Finish(CallAnswered{answered->answer});
  }
  if (std::holds_alternative<AttemptUnknown>(outcome)) {
    return RefuseUnknown("the call started and its answer was lost");
  }
  if (std::holds_alternative<DispatchNotSent>(outcome) ||
      std::holds_alternative<AttemptNotRun>(outcome)) {
    may_start_ = false;
  }
  if (std::holds_alternative<DispatchNotSent>(outcome)) {
    return GiveUp(refusal::Code::kNoEndpoint);
  }
  return Look();
}

EntryAction EntryClaim::GiveUp(refusal::Code code) {
  if (attempts_ == 0) {
    // Whatever the row says was written for another request with this key.
    return RefuseUnknown("the key is being served through another entry");
  }
  give_up_code_ = code;
  return WriteNotRun();
}

EntryAction EntryClaim::WriteNotRun() {
  // Only the entry's own newest claim may be given up: another entry's claim
  // on the same key is that entry's to answer for.
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
    may_start_ = false;
    return RefuseNotRun(give_up_code_);
  }
  if (conflict == nullptr) {
    return StoreUnavailable();
  }
  const absl::StatusOr<ClaimRow> claim = Parse(conflict->current.value);
  if (claim.ok() && claim->state == ClaimState::kDone) {
    return Finish(CallAnswered{claim->answer, /*replayed=*/true});
  }
  if (claim.ok() && claim->state == ClaimState::kStarted) {
    return WaitForOther(now);
  }
  return RefuseUnknown("the key is being served through another entry");
}

EntryAction EntryClaim::WaitForOther(common::Time now) {
  if (now >= wait_until_) {
    return RefuseUnknown("the call started and has not ended");
  }
  step_ = Step::kLooking;
  return Wait{std::min(options_.poll_interval, wait_until_ - now)};
}

EntryAction EntryClaim::OnWaited(common::Time) {
  // Waiting is bounded by time, not by the tries left for lost answers.
  step_ = Step::kLooking;
  return table::ReadRow{options_.row_key};
}

EntryAction EntryClaim::StoreUnavailable() {
  if (may_start_) {
    return RefuseUnknown("the table cannot be read after the call was sent");
  }
  return RefuseNotRun(refusal::Code::kStoreUnavailable);
}

EntryAction EntryClaim::RefuseNotRun(refusal::Code code) {
  WS_INVARIANT(!may_start_) << "not_run is final only when nothing can start";
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
