#ifndef COORDINATION_CLAIMS_ENDPOINT_CLAIM_H_
#define COORDINATION_CLAIMS_ENDPOINT_CLAIM_H_

#include <string>
#include <variant>

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

using EndpointAction = std::variant<table::ReadRow,
                                    table::WriteRow,
                                    RunService,
                                    AttemptAnswered,
                                    AttemptNotRun,
                                    AttemptUnknown>;

// The endpoint process's side of one attempt: wins the row's start, has the
// service called, records the answer. Pure.
class EndpointClaim {
 public:
  // `start_token` and `done_token` are unique tokens for the two writes.
  EndpointClaim(Dispatch dispatch,
                std::string start_token,
                std::string done_token);

  EndpointAction Start();
  EndpointAction OnRead(const table::ReadOutcome& outcome);
  EndpointAction OnWrite(const table::WriteOutcome& outcome);
  EndpointAction OnServiceAnswer(ServiceAnswer answer);
  // The service's answer was lost; the call may have run.
  EndpointAction OnServiceSilent();

  // Whether RunService was returned; it is returned at most once.
  bool service_called() const { return service_called_; }

 private:
  enum class Phase { kIdle, kStarting, kRunning, kRecording, kFinished };

  EndpointAction WriteStart();
  EndpointAction OnStartWritten(const table::WriteOutcome& outcome);
  EndpointAction OnStartReadBack(const table::Row& row);
  EndpointAction Run();
  EndpointAction Finish(EndpointAction final_action);

  Dispatch dispatch_;
  std::string start_token_;
  std::string done_token_;
  Phase phase_ = Phase::kIdle;
  uint32_t writes_left_;
  bool service_called_ = false;
  ServiceAnswer answer_;
};

}  // namespace wagtailshore::claims

#endif  // COORDINATION_CLAIMS_ENDPOINT_CLAIM_H_
