#ifndef COORDINATION_BUCKET_LEASES_BUCKET_ROW_H_
#define COORDINATION_BUCKET_LEASES_BUCKET_ROW_H_

#include <cstdint>
#include <map>
#include <string>

#include "absl/status/statusor.h"
#include "common/enum_names.h"
#include "coordination/claims/claim_row.h"

// Non-idempotent calls without the table in their path. Keys fall into
// buckets; each bucket is leased, through a row, to one endpoint process, which
// alone decides about the bucket's keys and writes its records behind. The
// lease is long enough to outlast an outage of the table.
namespace wagtailshore::bucket_leases {

enum class RecordState {
  // The call may have reached the service.
  kStarted,
  kDone,
  // The call may have run and its answer is lost for good.
  kUnknown,
};

inline constexpr common::EnumNames<RecordState, 3> kRecordStateNames = {{
    {RecordState::kStarted, "started"},
    {RecordState::kDone, "done"},
    {RecordState::kUnknown, "unknown"},
}};

// What became of one key's call.
struct Record {
  RecordState state = RecordState::kStarted;
  // Set when `state` is kDone.
  claims::ServiceAnswer answer;
};

struct BucketRow {
  // The owning process, unique over all restarts.
  std::string owner;
  // Counts the changes of owner.
  uint64_t epoch = 0;
  // False once the owner gave the bucket back, with all its records here.
  bool held = false;
  // Whether an owner was replaced without giving the bucket back. Keys that
  // are not recorded here may then have run nevertheless.
  bool barred = false;
  // By idempotency key.
  std::map<std::string, Record> records;
};

std::string Serialize(const BucketRow& row);
absl::StatusOr<BucketRow> Parse(const std::string& value);

}  // namespace wagtailshore::bucket_leases

#endif  // COORDINATION_BUCKET_LEASES_BUCKET_ROW_H_
