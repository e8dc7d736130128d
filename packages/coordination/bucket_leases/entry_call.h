#ifndef COORDINATION_BUCKET_LEASES_ENTRY_CALL_H_
#define COORDINATION_BUCKET_LEASES_ENTRY_CALL_H_

#include <optional>
#include <set>
#include <string>
#include <variant>

#include "common/time.h"
#include "coordination/claims/entry_claim.h"

namespace wagtailshore::bucket_leases {

// The bucket of a key among `buckets`.
int BucketOf(const std::string& row_key, int buckets);

// Send the call to the bucket's owner as it is known now.
struct SendToOwner {};

using EntryAction = std::variant<SendToOwner,
                                 claims::Wait,
                                 claims::CallAnswered,
                                 claims::CallRefused>;

// The entry's side of one call: sends it to the bucket's owner, again while
// the answer is lost, and gives one final answer by the deadline. Pure.
class EntryCall {
 public:
  explicit EntryCall(common::Time deadline) : deadline_(deadline) {}

  EntryAction Start(common::Time now);
  // No owner is known, or it could not be connected to.
  EntryAction OnNotSent(common::Time now);
  // `owner` names the process that the call was sent to, and its lease.
  void OnSent(const std::string& owner) { may_run_.insert(owner); }
  EntryAction OnReply(const std::string& owner,
                      const claims::DispatchOutcome& outcome,
                      common::Time now);
  EntryAction OnWaited(common::Time now);

  // The longest that the action returned last may take.
  common::Duration StepTimeout(common::Time now) const;

 private:
  EntryAction TryAgain(common::Time now);
  EntryAction Refuse();
  EntryAction Finish(EntryAction action);

  common::Time deadline_;
  // Owners that were sent a copy and have not refused it. An owner's refusal
  // holds for all copies of the sending.
  std::set<std::string> may_run_;
  bool finished_ = false;
};

}  // namespace wagtailshore::bucket_leases

#endif  // COORDINATION_BUCKET_LEASES_ENTRY_CALL_H_
