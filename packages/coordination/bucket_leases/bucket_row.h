#ifndef COORDINATION_BUCKET_LEASES_BUCKET_ROW_H_
#define COORDINATION_BUCKET_LEASES_BUCKET_ROW_H_

#include <cstdint>
#include <map>
#include <string>

#include "absl/status/statusor.h"
#include "common/enum_names.h"
#include "coordination/claims/claim_row.h"

// Runs non-idempotent calls without a table operation per call. Idempotency
// keys are hashed into buckets. Each bucket is leased, through a row of the
// table, to one endpoint process, which alone decides about the bucket's keys
// and writes its records to the row asynchronously. The lease is long enough to
// outlast an outage of the table.
namespace wagtailshore::bucket_leases {

enum class RecordState {
  // The call may have reached the service.
  kStarted,
  kDone,
  // The call may have run and its answer cannot be recovered.
  kUnknown,
};

inline constexpr common::EnumNames<RecordState, 3> kRecordStateNames = {{
    {RecordState::kStarted, "started"},
    {RecordState::kDone, "done"},
    {RecordState::kUnknown, "unknown"},
}};

// The outcome of one key's call.
struct Record {
  RecordState state = RecordState::kStarted;
  // Set when `state` is kDone.
  claims::ServiceAnswer answer;
};

struct BucketRow {
  // The owning process, unique over all restarts.
  std::string owner;
  // Number of changes of owner.
  uint64_t epoch = 0;
  // False once the owner has released the bucket, with all its records in the
  // row.
  bool held = false;
  // Whether an owner was ever replaced without having released the bucket.
  // Calls of keys that have no record may then have run nevertheless.
  bool barred = false;
  // By idempotency key.
  std::map<std::string, Record> records;
};

// The row's value, as MessagePack.
std::string Serialize(const BucketRow& row);
// Fails with DataLoss when the value cannot be decoded.
absl::StatusOr<BucketRow> Parse(const std::string& value);

}  // namespace wagtailshore::bucket_leases

#endif  // COORDINATION_BUCKET_LEASES_BUCKET_ROW_H_
