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

// Action: call the service now, exactly once.
struct RunService {};

// Final: the outcome of this attempt that is sent to the entry.
struct AttemptAnswered {
  ServiceAnswer answer;
};
struct AttemptNotRun {
  refusal::Code code = refusal::Code::kSuperseded;
};
struct AttemptUnknown {};

// The row contains the outcome of the attempt; nothing is left to do.
struct Settled {};
// The table does not answer; Settle() must be called again later.
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
  // The call is not started after this time.
  common::Time deadline;
  // Unique tokens for the two writes of the row.
  std::string start_token;
  std::string outcome_token;
};

// The endpoint process's side of one attempt: changes the row to started, has
// the service called, and records the outcome in the row. The entry gets the
// outcome at once; if the row does not contain it yet, Settle() records it
// later. Does no I/O: the caller carries out the returned action and reports
// its outcome.
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

  // Whether the row may lack the outcome that was sent to the entry.
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
    // Writing the service's answer to the row before it is sent to the entry.
    kRecording,
    // The entry has the outcome; the row may lack it.
    kUnsettled,
    // Reading or writing the row to record the outcome.
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
  // Returns the outcome for the entry and leaves the row to Settle().
  EndpointAction FinishUnsettled(ClaimState outcome, EndpointAction answer);
  EndpointAction Finish(EndpointAction final_action);

  EndpointClaimOptions options_;
  Phase phase_ = Phase::kIdle;
  uint32_t start_writes_left_;
  bool service_called_ = false;
  // The state to record in the row, once the entry has the outcome: kDone,
  // kNotRun or kUnknown.
  ClaimState outcome_ = ClaimState::kDone;
  ServiceAnswer answer_;
};

}  // namespace wagtailshore::claims

#endif  // COORDINATION_CLAIMS_ENDPOINT_CLAIM_H_
