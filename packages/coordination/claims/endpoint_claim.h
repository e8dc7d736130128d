#ifndef COORDINATION_CLAIMS_ENDPOINT_CLAIM_H_
#define COORDINATION_CLAIMS_ENDPOINT_CLAIM_H_

#include <string>
#include <variant>

#include "common/time.h"
#include "coordination/claims/claim_row.h"
#include "state/refusal/refusal.h"
#include "state/table/table.h"

namespace wagtailshore::claims {

// What an entry sends with an attempt at a non-idempotent call.
struct Dispatch {
  std::string row_key;
  // The row's version when the entry claimed it for this attempt.
  uint64_t row_version = 0;
  ClaimRow row;
};

// Call the service now, exactly once.
struct RunService {};

// Final: what the entry is told about this attempt.
struct AttemptAnswered {
  ServiceAnswer answer;
};
struct AttemptNotRun {
  refusal::Code code = refusal::Code::kSuperseded;
};
struct AttemptUnknown {};

// The row says what became of the attempt; nothing is left to do.
struct Settled {};
// The table does not answer; call Settle() again later.
struct SettleLater {};

using EndpointAction = std::variant<table::ReadRow,
                                    table::WriteRow,
                                    RunService,
                                    AttemptAnswered,
                                    AttemptNotRun,
                                    AttemptUnknown,
                                    Settled,
                                    SettleLater>;

struct EndpointClaimOptions {
  Dispatch dispatch;
  // After this time the call is not started any more.
  common::Time deadline;
  // Unique tokens for the two changes of the row.
  std::string start_token;
  std::string outcome_token;
};

// The endpoint process's side of one attempt: wins the row's start, has the
// service called, records the outcome. The entry is told the outcome at once;
// while the table is away the record is made later, by Settle(). Pure.
class EndpointClaim {
 public:
  explicit EndpointClaim(EndpointClaimOptions options);

  EndpointAction Start(common::Time now);
  EndpointAction OnRead(const table::ReadOutcome& outcome, common::Time now);
  EndpointAction OnWrite(const table::WriteOutcome& outcome, common::Time now);
  EndpointAction OnServiceAnswer(ServiceAnswer answer);
  // The service's answer was lost; the call may have run.
  EndpointAction OnServiceAnswerLost();
  // The call never reached the service.
  EndpointAction OnServiceNotReached();

  // Whether the row lacks the outcome that the entry was told.
  bool needs_settling() const { return phase_ == Phase::kUnsettled; }
  // Tries again to record the outcome; allowed while needs_settling().
  EndpointAction Settle();

  // Whether RunService was returned; it is returned at most once.
  bool service_called() const { return service_called_; }

 private:
  enum class Phase {
    kIdle,
    // Writing the row to started.
    kStarting,
    kRunning,
    // Writing the service's answer before it is passed on.
    kRecording,
    // The entry has been told; the row does not say it yet.
    kUnsettled,
    kSettling,
    kFinished,
  };

  EndpointAction WriteStart();
  EndpointAction OnStartWritten(const table::WriteOutcome& outcome,
                                common::Time now);
  EndpointAction OnStartReadBack(const table::Row& row, common::Time now);
  EndpointAction Run(common::Time now);
  EndpointAction WriteOutcomeRow(uint64_t expected_version);
  EndpointAction OnOutcomeWritten(const table::WriteOutcome& outcome);
  // Tells the entry now and leaves the row for Settle().
  EndpointAction FinishUnsettled(ClaimState outcome, EndpointAction answer);
  EndpointAction Finish(EndpointAction final_action);

  EndpointClaimOptions options_;
  Phase phase_ = Phase::kIdle;
  uint32_t start_writes_left_;
  bool service_called_ = false;
  // Kept for the row: kDone, kNotRun or kUnknown once the entry was told.
  ClaimState outcome_ = ClaimState::kDone;
  ServiceAnswer answer_;
};

}  // namespace wagtailshore::claims

#endif  // COORDINATION_CLAIMS_ENDPOINT_CLAIM_H_
