#ifndef COORDINATION_BUCKET_LEASES_BUCKET_OWNER_H_
#define COORDINATION_BUCKET_LEASES_BUCKET_OWNER_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "common/time.h"
#include "coordination/bucket_leases/bucket_row.h"
#include "coordination/claims/endpoint_claim.h"
#include "state/table/table.h"

namespace wagtailshore::bucket_leases {

struct BucketOwnerOptions {
  std::string row_key;
  // This process, unique over all restarts.
  std::string process;
  // How long the bucket may be decided about without the table.
  common::Duration lease = std::chrono::minutes(15);
  // Added to another's lease before it is taken over: how far two clocks may
  // run apart during a lease.
  common::Duration drift_bound = common::seconds(9);
  common::Duration renew_interval = common::seconds(5);
  common::Duration look_interval = common::seconds(2);
  // How long a free bucket is left to the process that should have it.
  common::Duration wait_when_free{};
  // Returns a token that was never used before.
  std::function<std::string()> new_token;
};

// One copy of a call from an entry.
struct Call {
  // The sending's identity; the same for all copies that an entry sends.
  std::string sending;
  std::string key;
};

// Have the service run this key's call now.
struct RunCall {
  std::string key;
};
// Tell the entry of this sending.
struct Reply {
  std::string sending;
  std::variant<claims::AttemptAnswered,
               claims::AttemptNotRun,
               claims::AttemptUnknown>
      outcome;
};

using OwnerAction =
    std::variant<table::ReadRow, table::WriteRow, RunCall, Reply>;
using OwnerActions = std::vector<OwnerAction>;

// One endpoint process's view of one bucket: takes the lease, decides about
// the bucket's calls while it holds, writes the records behind. At most one
// table operation is under way at a time. Pure; `now` is this process's own
// monotonic clock.
class BucketOwner {
 public:
  explicit BucketOwner(BucketOwnerOptions options);

  // Call this about once a second.
  OwnerActions OnTick(common::Time now);
  OwnerActions OnRead(const table::ReadOutcome& outcome, common::Time now);
  OwnerActions OnWrite(const table::WriteOutcome& outcome, common::Time now);
  OwnerActions OnCall(const Call& call, common::Time now);
  OwnerActions OnServiceAnswer(const std::string& key,
                               claims::ServiceAnswer answer);
  OwnerActions OnServiceSilent(const std::string& key);
  // Takes no new call; gives the bucket back when the running ones have ended.
  void StartRelease() { releasing_ = true; }

  // Whether calls are decided here now.
  bool Owns(common::Time now) const {
    return held_ && !releasing_ && now < lease_until_;
  }
  uint64_t epoch() const { return row_.epoch; }
  bool barred() const { return row_.barred; }

 private:
  // A write that this process sent and that may be the row's content.
  struct OwnWrite {
    // The lease counts from here.
    common::Time sent_at;
    uint64_t expected_version = 0;
    // Whether the write takes or keeps the bucket, or gives it back.
    bool holds = false;
  };

  OwnerActions Decide(const Call& call, common::Time now);
  OwnerActions OnRecorded(const Call& call, const Record& record);
  OwnerActions Refuse(const Call& call);
  OwnerActions End(const std::string& key, Record record);
  OwnerActions TickAsOwner(common::Time now);
  OwnerActions Write(common::Time now, bool holds);
  // The row was read, or met by a write that did not take effect.
  OwnerActions OnRow(const table::Row& row, common::Time now);
  // The row holds the own write with this token.
  void OnOwnRow(const std::string& token, uint64_t version);
  void OnLost(common::Time now);
  OwnerActions OnOthersRow(const BucketRow& bucket, common::Time now);
  OwnerActions Take(const BucketRow& bucket, common::Time now);
  // Adds what the row records to what is known here.
  void Merge(const std::map<std::string, Record>& records);

  BucketOwnerOptions options_;
  // What the row says or is to say; the records here are ahead of the table.
  BucketRow row_;
  bool held_ = false;
  bool releasing_ = false;
  common::Time lease_until_{};
  // The row's version as last seen, and since when it is that.
  std::optional<uint64_t> version_;
  common::Time seen_since_{};
  common::Time next_look_{};
  common::Time next_renewal_{};
  bool operation_under_way_ = false;
  // Whether the last write went unanswered.
  bool unresolved_ = false;
  // Whether there are records that the row may lack.
  bool unwritten_ = false;
  // By token.
  std::map<std::string, OwnWrite> own_writes_;
  std::string last_token_;
  // Sendings to answer when the key's call ends.
  std::map<std::string, std::vector<std::string>> running_;
  // Sendings refused as not run. Later copies must not run either.
  std::set<std::string> refused_;
};

}  // namespace wagtailshore::bucket_leases

#endif  // COORDINATION_BUCKET_LEASES_BUCKET_OWNER_H_
