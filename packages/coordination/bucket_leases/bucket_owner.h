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
  // Name of this process, unique over all restarts.
  std::string process;
  // How long after sending its last successful write the owner may decide
  // about the bucket's calls without access to the table.
  common::Duration lease = std::chrono::minutes(15);
  // Added to another owner's lease before the bucket is taken over: the most
  // that two processes' clocks may drift apart during a lease.
  common::Duration drift_bound = common::seconds(9);
  common::Duration renew_interval = common::seconds(5);
  common::Duration read_interval = common::seconds(2);
  // How long this process leaves a free bucket to its preferred owner; zero at
  // the preferred owner.
  common::Duration free_bucket_delay{};
  // Returns a write token that was never used before.
  std::function<std::string()> new_token;
};

// One copy of a call from an entry.
struct Call {
  // Identifies the caller's request; the same for all copies that the entry
  // sends. A caller that repeats the key makes a new request.
  std::string request_id;
  // The idempotency key.
  std::string key;
};

// Action: run this key's call at the service now.
struct RunCall {
  std::string key;
};
// Action: send the outcome to the entry of this request.
struct Reply {
  std::string request_id;
  std::variant<claims::AttemptAnswered,
               claims::AttemptNotRun,
               claims::AttemptUnknown>
      outcome;
};

using OwnerAction =
    std::variant<table::ReadRow, table::WriteRow, RunCall, Reply>;
using OwnerActions = std::vector<OwnerAction>;

// One endpoint process's state for one bucket: acquires the lease, decides
// about the bucket's calls while the lease is valid, and writes the records to
// the table asynchronously. At most one table operation is pending at a time.
// Does no I/O: the caller carries out the returned actions and reports their
// outcomes. `now` is the time of this process's monotonic clock.
class BucketOwner {
 public:
  explicit BucketOwner(BucketOwnerOptions options);

  // To be called about once a second.
  OwnerActions OnTick(common::Time now);
  OwnerActions OnRead(const table::ReadOutcome& outcome, common::Time now);
  OwnerActions OnWrite(const table::WriteOutcome& outcome, common::Time now);
  OwnerActions OnCall(const Call& call, common::Time now);
  OwnerActions OnServiceAnswer(const std::string& key,
                               claims::ServiceAnswer answer);
  // The service's answer was lost; the call may have run.
  OwnerActions OnServiceAnswerLost(const std::string& key);
  // Refuses new calls from now on, and releases the bucket when the running
  // calls have ended.
  void StartRelease() { releasing_ = true; }

  // Whether this process may decide about the bucket's calls now.
  bool Owns(common::Time now) const {
    return held_ && !releasing_ && now < lease_until_;
  }
  uint64_t epoch() const { return row_.epoch; }
  bool barred() const { return row_.barred; }

 private:
  // A write of this process that may have become the row's content.
  struct OwnWrite {
    // The lease starts here.
    common::Time sent_at;
    uint64_t expected_version = 0;
    // Whether the write acquires or renews the lease; false when it releases
    // the bucket.
    bool holds = false;
  };

  OwnerActions OnNewCall(const Call& call, common::Time now);
  OwnerActions OnRecorded(const Call& call, const Record& record);
  OwnerActions Refuse(const Call& call);
  OwnerActions EndCall(const std::string& key, Record record);
  OwnerActions TickAsOwner(common::Time now);
  OwnerActions Write(common::Time now, bool holds);
  // The row was read, or returned by a write that had a conflict.
  OwnerActions OnRow(const table::Row& row, common::Time now);
  // The row contains this process's write with this token.
  void OnOwnRow(const std::string& token, uint64_t version);
  void OnLost(common::Time now);
  OwnerActions OnForeignRow(const BucketRow& bucket, common::Time now);
  OwnerActions TakeOver(const BucketRow& bucket, common::Time now);
  // Merges the records of the row into `row_`.
  void Merge(const std::map<std::string, Record>& records);

  BucketOwnerOptions options_;
  // The row as it is or will be written; may contain records that the table
  // does not have yet.
  BucketRow row_;
  bool held_ = false;
  bool releasing_ = false;
  common::Time lease_until_{};
  // The version of the row when it was last read, and when that version was
  // first seen.
  std::optional<uint64_t> version_;
  common::Time version_seen_since_{};
  common::Time next_read_{};
  common::Time next_renewal_{};
  bool operation_pending_ = false;
  // Whether the outcome of the last write is unknown.
  bool last_write_unknown_ = false;
  // Whether there are records that the table may not have yet.
  bool has_unwritten_records_ = false;
  // By write token.
  std::map<std::string, OwnWrite> own_writes_;
  std::string last_token_;
  // Requests to answer when the call ends, by idempotency key.
  std::map<std::string, std::vector<std::string>> running_;
  // Requests refused as not run. Later copies of them must not run either.
  std::set<std::string> refused_requests_;
};

}  // namespace wagtailshore::bucket_leases

#endif  // COORDINATION_BUCKET_LEASES_BUCKET_OWNER_H_
