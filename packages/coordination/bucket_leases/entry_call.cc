#include "coordination/bucket_leases/entry_call.h"

#include <algorithm>
#include <utility>

#include "common/digest.h"
#include "common/invariant.h"

namespace wagtailshore::bucket_leases {
namespace {

constexpr common::Duration kSendTimeout = common::seconds(2);
constexpr common::Duration kRetryInterval = common::milliseconds(200);
constexpr common::Duration kRetryAfter = common::seconds(1);

}  // namespace

int BucketOf(const std::string& row_key, int buckets) {
  constexpr size_t kDigits = 8;
  constexpr int kHexadecimal = 16;
  const std::string digits = common::Sha256Hex(row_key).substr(0, kDigits);
  return static_cast<int>(std::stoul(digits, nullptr, kHexadecimal) %
                          static_cast<unsigned long>(buckets));
}

EntryAction EntryCall::Start(common::Time now) {
  return SendUnlessExpired(now);
}

common::Duration EntryCall::StepTimeout(common::Time now) const {
  return std::clamp<common::Duration>(deadline_ - now, common::Duration::zero(),
                                      kSendTimeout);
}

EntryAction EntryCall::SendUnlessExpired(common::Time now) {
  if (now >= deadline_) {
    return Refuse();
  }
  return SendToOwner{};
}

EntryAction EntryCall::OnNotSent(common::Time now) {
  if (pending_owners_.empty()) {
    return Refuse();
  }
  if (now >= deadline_) {
    return Refuse();
  }
  return claims::Wait{
      std::min<common::Duration>(kRetryInterval, deadline_ - now)};
}

EntryAction EntryCall::OnWaited(common::Time now) {
  return SendUnlessExpired(now);
}

EntryAction EntryCall::OnReply(const std::string& owner,
                               const claims::DispatchOutcome& outcome,
                               common::Time now) {
  if (const auto* answered = std::get_if<claims::AttemptAnswered>(&outcome)) {
    return Finish(claims::CallAnswered{answered->answer});
  }
  if (std::holds_alternative<claims::AttemptUnknown>(outcome)) {
    return Finish(claims::CallRefused{
        {.code = refusal::Code::kOutcomeUnknown,
         .ran = refusal::Ran::kUnknown,
         .message = "an earlier request with this key may have run",
         .retry_after = kRetryAfter}});
  }
  if (std::holds_alternative<claims::AttemptNotRun>(outcome)) {
    pending_owners_.erase(owner);
    return OnNotSent(now);
  }
  // The answer was lost. Another copy is safe to send, as the owner records
  // which keys it has run.
  return SendUnlessExpired(now);
}

EntryAction EntryCall::Refuse() {
  // Without the owner's record, not_run covers this request only, not earlier
  // ones with the same key.
  const bool ran = !pending_owners_.empty();
  return Finish(claims::CallRefused{
      {.code = ran ? refusal::Code::kOutcomeUnknown
                   : refusal::Code::kStoreUnavailable,
       .ran = ran ? refusal::Ran::kUnknown : refusal::Ran::kNotRun,
       .message = ran ? "the call may have run" : "the call did not run",
       .retry_after = kRetryAfter}});
}

EntryAction EntryCall::Finish(EntryAction action) {
  WS_INVARIANT(!finished_) << "a request is answered once";
  finished_ = true;
  return action;
}

}  // namespace wagtailshore::bucket_leases
