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
  // How often to look for the outcome of a call that is running.
  common::Duration poll_interval = common::milliseconds(200);
  // How long a call that has started is waited for.
  common::Duration wait_for_started = common::seconds(5);
  // How long another entry's claim is left alone before it is taken over.
  common::Duration wait_for_claimed = common::milliseconds(400);
  uint32_t max_attempts = 3;
  // Returns a token that was never used before.
  std::function<std::string()> new_token;
};

// Send the attempt to an endpoint; report with OnDispatched.
struct SendDispatch {
  Dispatch dispatch;
};
// Call OnWaited after this time.
struct Wait {
  common::Duration duration;
};
// Final.
struct CallAnswered {
  ServiceAnswer answer;
  // Whether the answer is that of an earlier request with the same key.
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
// The picked endpoint could not be connected to and saw nothing.
struct DispatchNotSent {};
// The connection broke or went silent after the attempt was sent.
struct DispatchLost {};

using DispatchOutcome = std::variant<AttemptAnswered,
                                     AttemptNotRun,
                                     AttemptUnknown,
                                     NoEndpoint,
                                     DispatchNotSent,
                                     DispatchLost>;

// The entry's side of one non-idempotent request: claims the row, sends one
// attempt at a time, and gives the request exactly one of three final answers:
// complete, refused as not run, or outcome unknown. Pure.
class EntryClaim {
 public:
  explicit EntryClaim(EntryClaimOptions options);

  EntryAction Start(common::Time now);
  EntryAction OnRead(const table::ReadOutcome& outcome, common::Time now);
  EntryAction OnWrite(const table::WriteOutcome& outcome, common::Time now);
  EntryAction OnDispatched(const DispatchOutcome& outcome, common::Time now);
  EntryAction OnWaited(common::Time now);

  // The longest that the action returned last may take, so that the final
  // answer can be given by the deadline.
  common::Duration StepTimeout(common::Time now) const;

 private:
  enum class Step {
    kIdle,
    // Reading the row to see what is known of the key.
    kLooking,
    // Writing the row to claim it for a new attempt.
    kClaiming,
    // An attempt is at an endpoint.
    kDispatched,
    // Writing the row to not_run, so that no attempt can start any more.
    kGivingUp,
    kFinished,
  };

  EntryAction Look(common::Time now);
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
  // Whether the request may be placed once more.
  bool MayTryAgain(common::Time now) const;
  EntryAction Refuse(refusal::Code code);
  EntryAction RefuseUnknown(std::string message);
  EntryAction Finish(EntryAction final_action);

  EntryClaimOptions options_;
  Step step_ = Step::kIdle;
  // The row as this entry last wrote it.
  table::WriteRow last_write_;
  ClaimRow own_row_;
  uint32_t attempts_ = 0;
  uint32_t tries_left_;
  // Whether, as far as this entry has seen, the request may have run or may
  // still start, through whichever entry. A claim that this entry wrote proves
  // the contrary until it is dispatched or taken over.
  bool may_run_ = false;
  bool row_read_ = false;
  refusal::Code give_up_code_ = refusal::Code::kNoEndpoint;
  // Another entry's claim, and since when it is seen.
  uint64_t other_version_ = 0;
  common::Time other_since_{};
  // When the row was first seen started.
  std::optional<common::Time> started_since_;
};

}  // namespace wagtailshore::claims

#endif  // COORDINATION_CLAIMS_ENTRY_CLAIM_H_
