#ifndef COORDINATION_CLAIMS_ENTRY_CLAIM_H_
#define COORDINATION_CLAIMS_ENTRY_CLAIM_H_

#include <functional>
#include <optional>
#include <string>
#include <variant>

#include "common/time.h"
#include "coordination/claims/claim_row.h"
#include "coordination/claims/endpoint_claim.h"
#include "state/refusal/refusal.h"
#include "state/table/table.h"

namespace wagtailshore::claims {

struct EntryClaimOptions {
  std::string row_key;
  std::string request_digest;
  common::Time deadline;
  // How often the row is read while another attempt holds it.
  common::Duration poll_interval = common::milliseconds(200);
  // How long to wait for the outcome of a call that has started.
  common::Duration wait_for_started = common::seconds(5);
  // How long to wait before taking over another entry's claim.
  common::Duration wait_for_claimed = common::milliseconds(400);
  uint32_t max_attempts = 3;
  // Returns a write token that was never used before.
  std::function<std::string()> new_token;
};

// Action: send the attempt to an endpoint and report the outcome with
// OnDispatched().
struct SendDispatch {
  Dispatch dispatch;
};
// Action: call OnWaited() after this time.
struct Wait {
  common::Duration duration;
};
// Final.
struct CallAnswered {
  ServiceAnswer answer;
  // Whether this is the recorded answer of an earlier request with this key.
  bool replayed = false;
};
struct CallRefused {
  refusal::Refusal refusal;
};

using EntryAction = std::variant<table::ReadRow,
                                 table::WriteRow,
                                 SendDispatch,
                                 Wait,
                                 CallAnswered,
                                 CallRefused>;

// No endpoint can be picked for the attempt.
struct NoEndpoint {};
// No connection to the picked endpoint could be made; nothing was sent.
struct DispatchNotSent {};
// The connection broke or timed out after the attempt was sent.
struct DispatchLost {};

using DispatchOutcome = std::variant<AttemptAnswered,
                                     AttemptNotRun,
                                     AttemptUnknown,
                                     NoEndpoint,
                                     DispatchNotSent,
                                     DispatchLost>;

// The entry's side of one non-idempotent request: claims the row, sends one
// attempt at a time, and returns exactly one of three final answers: complete,
// refused as not run, or outcome unknown. Does no I/O: the caller carries out
// the returned action and reports its outcome.
class EntryClaim {
 public:
  explicit EntryClaim(EntryClaimOptions options);

  EntryAction Start(common::Time now);
  EntryAction OnRead(const table::ReadOutcome& outcome, common::Time now);
  EntryAction OnWrite(const table::WriteOutcome& outcome, common::Time now);
  EntryAction OnDispatched(const DispatchOutcome& outcome, common::Time now);
  EntryAction OnWaited(common::Time now);

  // Time limit for the action that was returned last, so that the final answer
  // can be returned by the deadline.
  common::Duration StepTimeout(common::Time now) const;

 private:
  enum class Step {
    kIdle,
    // Reading the row, or waiting to read it again.
    kReading,
    // Writing the row to claim it for a new attempt.
    kClaiming,
    // An attempt has been sent to an endpoint.
    kDispatched,
    // Writing the row to not_run, so that no attempt can start from then on.
    kGivingUp,
    kFinished,
  };

  EntryAction LookUp(common::Time now);
  EntryAction OnRow(const table::Row& row, common::Time now);
  EntryAction OnClaimedRow(const table::Row& row,
                           const ClaimRow& claim,
                           common::Time now);
  EntryAction OnNotRunRow(const table::Row& row,
                          const ClaimRow& claim,
                          common::Time now);
  EntryAction OnStartedRow(common::Time now);
  EntryAction Claim(const table::Row& row, uint32_t attempt);
  EntryAction OnClaimWritten(const table::WriteOutcome& outcome,
                             common::Time now);
  EntryAction GiveUp(refusal::Code code, common::Time now);
  EntryAction OnNotRunWritten(const table::WriteOutcome& outcome,
                              common::Time now);
  // Whether another attempt may be made.
  bool MayStartAttempt(common::Time now) const;
  EntryAction Refuse(refusal::Code code);
  EntryAction RefuseUnknown(std::string message);
  EntryAction Finish(EntryAction final_action);

  EntryClaimOptions options_;
  Step step_ = Step::kIdle;
  // The row as this entry last wrote it.
  table::WriteRow last_write_;
  ClaimRow own_row_;
  uint32_t attempts_ = 0;
  uint32_t row_reads_left_;
  // Whether, as far as this entry knows, the request may have run or may still
  // start, through any entry. False after this entry has written its own claim,
  // until that claim is dispatched or taken over.
  bool may_run_ = false;
  bool row_read_ = false;
  refusal::Code give_up_code_ = refusal::Code::kNoEndpoint;
  // Version of another entry's claim, and when it was first seen.
  uint64_t other_claim_version_ = 0;
  common::Time other_claim_since_{};
  // When the row was first seen started.
  std::optional<common::Time> started_since_;
};

}  // namespace wagtailshore::claims

#endif  // COORDINATION_CLAIMS_ENTRY_CLAIM_H_
