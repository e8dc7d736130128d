#ifndef COORDINATION_BUCKET_LEASES_ENTRY_CALL_H_
#define COORDINATION_BUCKET_LEASES_ENTRY_CALL_H_

#include <optional>
#include <set>
#include <string>
#include <variant>

#include "common/time.h"
#include "coordination/claims/entry_claim.h"

namespace wagtailshore::bucket_leases {

// The bucket of a row key, from 0 to `buckets` - 1.
int BucketOf(const std::string& row_key, int buckets);

// Action: send the call to the bucket's currently known owner.
struct SendToOwner {};

using EntryAction = std::variant<SendToOwner,
                                 claims::Wait,
                                 claims::CallAnswered,
                                 claims::CallRefused>;

// The entry's side of one call: sends it to the bucket's owner, sends it again
// when the answer is lost, and returns one final answer by the deadline. Does
// no I/O: the caller carries out the returned action and reports its outcome.
class EntryCall {
 public:
  explicit EntryCall(common::Time deadline) : deadline_(deadline) {}

  EntryAction Start(common::Time now);
  // No owner is known, or it could not be connected to.
  EntryAction OnNotSent(common::Time now);
  // `owner` identifies the process that the call was sent to and its lease.
  void OnSent(const std::string& owner) { pending_owners_.insert(owner); }
  EntryAction OnReply(const std::string& owner,
                      const claims::DispatchOutcome& outcome,
                      common::Time now);
  EntryAction OnWaited(common::Time now);

  // Time limit for the action that was returned last.
  common::Duration StepTimeout(common::Time now) const;

 private:
  EntryAction SendUnlessExpired(common::Time now);
  EntryAction Refuse();
  EntryAction Finish(EntryAction action);

  common::Time deadline_;
  // Owners that were sent a copy and have not refused it. An owner's refusal
  // covers all copies of the request.
  std::set<std::string> pending_owners_;
  bool finished_ = false;
};

}  // namespace wagtailshore::bucket_leases

#endif  // COORDINATION_BUCKET_LEASES_ENTRY_CALL_H_
