#include "coordination/claims/endpoint_claim.h"

#include <utility>

#include "common/invariant.h"

namespace wagtailshore::claims {
namespace {

// Writes of the started state, retried while the table does not answer.
constexpr uint32_t kMaxStartWrites = 3;

}  // namespace

EndpointClaim::EndpointClaim(EndpointClaimOptions options)
    : options_(std::move(options)), start_writes_left_(kMaxStartWrites) {}

EndpointAction EndpointClaim::Start(common::Time now) {
  WS_INVARIANT(phase_ == Phase::kIdle);
  if (now >= options_.deadline) {
    return Finish(AttemptNotRun{refusal::Code::kDeadlineExceeded});
  }
  phase_ = Phase::kStarting;
  return WriteStart();
}

EndpointAction EndpointClaim::WriteStart() {
  if (start_writes_left_ == 0) {
    // Even if a write without an answer took effect, only this process may run
    // the call after it, and it does not do so from here on.
    return FinishUnsettled(ClaimState::kNotRun,
                           AttemptNotRun{refusal::Code::kStoreUnavailable});
  }
  --start_writes_left_;
  ClaimRow row = options_.dispatch.row;
  row.state = ClaimState::kStarted;
  return table::WriteRow{.key = options_.dispatch.row_key,
                         .expected_version = options_.dispatch.row_version,
                         .value = Serialize(row),
                         .token = options_.start_token};
}

EndpointAction EndpointClaim::OnWrite(const table::WriteOutcome& outcome,
                                      common::Time now) {
  if (phase_ == Phase::kStarting) {
    return OnStartWritten(outcome, now);
  }
  return OnOutcomeWritten(outcome);
}

EndpointAction EndpointClaim::OnStartWritten(const table::WriteOutcome& outcome,
                                             common::Time now) {
  if (std::holds_alternative<table::RowWritten>(outcome)) {
    return Run(now);
  }
  if (const auto* conflict = std::get_if<table::WriteConflict>(&outcome)) {
    return OnStartReadBack(conflict->current, now);
  }
  return table::ReadRow{options_.dispatch.row_key};
}

EndpointAction EndpointClaim::OnRead(const table::ReadOutcome& outcome,
                                     common::Time now) {
  const auto* read = std::get_if<table::RowRead>(&outcome);
  if (phase_ == Phase::kStarting) {
    return read != nullptr ? OnStartReadBack(read->row, now) : WriteStart();
  }
  WS_INVARIANT(phase_ == Phase::kSettling);
  if (read == nullptr) {
    phase_ = Phase::kUnsettled;
    return SettleLater{};
  }
  const bool still_claimed = read->row.version == options_.dispatch.row_version;
  if (still_claimed || read->row.token == options_.start_token) {
    return WriteOutcomeRow(read->row.version);
  }
  return Finish(Settled{});
}

EndpointAction EndpointClaim::OnStartReadBack(const table::Row& row,
                                              common::Time now) {
  if (row.token == options_.start_token) {
    return Run(now);
  }
  if (row.version == options_.dispatch.row_version) {
    return WriteStart();
  }
  return Finish(AttemptNotRun{refusal::Code::kSuperseded});
}

EndpointAction EndpointClaim::Run(common::Time now) {
  if (now >= options_.deadline) {
    return FinishUnsettled(ClaimState::kNotRun,
                           AttemptNotRun{refusal::Code::kDeadlineExceeded});
  }
  WS_INVARIANT(!service_called_) << "a non-idempotent call runs once";
  service_called_ = true;
  phase_ = Phase::kRunning;
  return RunService{};
}

EndpointAction EndpointClaim::OnServiceAnswer(ServiceAnswer answer) {
  WS_INVARIANT(phase_ == Phase::kRunning);
  phase_ = Phase::kRecording;
  outcome_ = ClaimState::kDone;
  answer_ = std::move(answer);
  return WriteOutcomeRow(options_.dispatch.row_version + 1);
}

EndpointAction EndpointClaim::OnServiceAnswerLost() {
  WS_INVARIANT(phase_ == Phase::kRunning);
  return FinishUnsettled(ClaimState::kUnknown, AttemptUnknown{});
}

EndpointAction EndpointClaim::OnServiceNotReached() {
  WS_INVARIANT(phase_ == Phase::kRunning);
  return FinishUnsettled(ClaimState::kNotRun,
                         AttemptNotRun{refusal::Code::kNoEndpoint});
}

EndpointAction EndpointClaim::WriteOutcomeRow(uint64_t expected_version) {
  ClaimRow row = options_.dispatch.row;
  row.state = outcome_;
  row.answer = answer_;
  return table::WriteRow{.key = options_.dispatch.row_key,
                         .expected_version = expected_version,
                         .value = Serialize(row),
                         .token = options_.outcome_token};
}

EndpointAction EndpointClaim::OnOutcomeWritten(
    const table::WriteOutcome& outcome) {
  const bool recording = phase_ == Phase::kRecording;
  WS_INVARIANT(recording || phase_ == Phase::kSettling);
  if (std::holds_alternative<table::Unavailable>(outcome)) {
    phase_ = Phase::kUnsettled;
    return recording ? EndpointAction(AttemptAnswered{answer_})
                     : EndpointAction(SettleLater{});
  }
  if (const auto* conflict = std::get_if<table::WriteConflict>(&outcome)) {
    const bool settled = conflict->current.token == options_.outcome_token;
    WS_INVARIANT(settled || !service_called_)
        << "nobody else writes a started row: " << options_.dispatch.row_key;
    if (!settled && conflict->current.token == options_.start_token) {
      // The start took effect between the read and this write.
      return WriteOutcomeRow(conflict->current.version);
    }
  }
  return Finish(recording ? EndpointAction(AttemptAnswered{answer_})
                          : EndpointAction(Settled{}));
}

EndpointAction EndpointClaim::Settle() {
  WS_INVARIANT(phase_ == Phase::kUnsettled);
  phase_ = Phase::kSettling;
  return table::ReadRow{options_.dispatch.row_key};
}

EndpointAction EndpointClaim::FinishUnsettled(ClaimState outcome,
                                              EndpointAction answer) {
  outcome_ = outcome;
  phase_ = Phase::kUnsettled;
  return answer;
}

EndpointAction EndpointClaim::Finish(EndpointAction final_action) {
  phase_ = Phase::kFinished;
  return final_action;
}

}  // namespace wagtailshore::claims
