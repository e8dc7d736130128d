#include "coordination/claims/endpoint_claim.h"

#include <utility>

#include "common/invariant.h"

namespace wagtailshore::claims {
namespace {

// Tries at each of the two writes while the table's answers are lost.
constexpr uint32_t kMaxWrites = 3;

}  // namespace

EndpointClaim::EndpointClaim(Dispatch dispatch,
                             std::string start_token,
                             std::string done_token)
    : dispatch_(std::move(dispatch)),
      start_token_(std::move(start_token)),
      done_token_(std::move(done_token)),
      writes_left_(kMaxWrites) {}

EndpointAction EndpointClaim::Start() {
  WS_INVARIANT(phase_ == Phase::kIdle);
  phase_ = Phase::kStarting;
  return WriteStart();
}

EndpointAction EndpointClaim::WriteStart() {
  if (writes_left_ == 0) {
    // Even if a lost write took effect, only this process could act on it, and
    // it gives that right up here.
    return Finish(AttemptNotRun{refusal::Code::kStoreUnavailable});
  }
  --writes_left_;
  ClaimRow row = dispatch_.row;
  row.state = ClaimState::kStarted;
  return table::WriteRow{.key = dispatch_.row_key,
                         .expected_version = dispatch_.row_version,
                         .value = Serialize(row),
                         .token = start_token_};
}

EndpointAction EndpointClaim::OnWrite(const table::WriteOutcome& outcome) {
  if (phase_ == Phase::kStarting) {
    return OnStartWritten(outcome);
  }
  WS_INVARIANT(phase_ == Phase::kRecording);
  const auto* conflict = std::get_if<table::WriteConflict>(&outcome);
  const bool recorded =
      std::holds_alternative<table::RowWritten>(outcome) ||
      (conflict != nullptr && conflict->current.token == done_token_);
  if (recorded || writes_left_ == 0) {
    // The answer is real even when it could not be recorded: this caller gets
    // it, and a later look-up of the key says "unknown".
    return Finish(AttemptAnswered{answer_});
  }
  WS_INVARIANT(conflict == nullptr)
      << "nobody else writes a started row: " << dispatch_.row_key;
  return OnServiceAnswer(std::move(answer_));
}

EndpointAction EndpointClaim::OnStartWritten(
    const table::WriteOutcome& outcome) {
  if (std::holds_alternative<table::RowWritten>(outcome)) {
    return Run();
  }
  if (const auto* conflict = std::get_if<table::WriteConflict>(&outcome)) {
    return OnStartReadBack(conflict->current);
  }
  return table::ReadRow{dispatch_.row_key};
}

EndpointAction EndpointClaim::OnRead(const table::ReadOutcome& outcome) {
  WS_INVARIANT(phase_ == Phase::kStarting);
  if (const auto* read = std::get_if<table::RowRead>(&outcome)) {
    return OnStartReadBack(read->row);
  }
  return WriteStart();
}

EndpointAction EndpointClaim::OnStartReadBack(const table::Row& row) {
  if (row.token == start_token_) {
    return Run();
  }
  if (row.version == dispatch_.row_version) {
    return WriteStart();
  }
  return Finish(AttemptNotRun{refusal::Code::kSuperseded});
}

EndpointAction EndpointClaim::Run() {
  WS_INVARIANT(!service_called_) << "a non-idempotent call runs once";
  service_called_ = true;
  phase_ = Phase::kRunning;
  return RunService{};
}

EndpointAction EndpointClaim::OnServiceAnswer(ServiceAnswer answer) {
  WS_INVARIANT(service_called_);
  if (phase_ == Phase::kRunning) {
    phase_ = Phase::kRecording;
    writes_left_ = kMaxWrites;
  }
  --writes_left_;
  answer_ = std::move(answer);
  ClaimRow row = dispatch_.row;
  row.state = ClaimState::kDone;
  row.answer = answer_;
  return table::WriteRow{.key = dispatch_.row_key,
                         .expected_version = dispatch_.row_version + 1,
                         .value = Serialize(row),
                         .token = done_token_};
}

EndpointAction EndpointClaim::OnServiceSilent() {
  WS_INVARIANT(phase_ == Phase::kRunning);
  return Finish(AttemptUnknown{});
}

EndpointAction EndpointClaim::Finish(EndpointAction final_action) {
  phase_ = Phase::kFinished;
  return final_action;
}

}  // namespace wagtailshore::claims
