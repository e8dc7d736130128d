#ifndef PROTOCOL_CRASH_REPORT_CRASH_REPORT_H_
#define PROTOCOL_CRASH_REPORT_CRASH_REPORT_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "common/time.h"
#include "coordination/quarantine/quarantine.h"

// Reports by which gateways share which contents crashed which endpoints, as
// rows of a table: one row for each crash, so that two gateways that report the
// same crash write the same row.
namespace wagtailshore::crash_report {

struct CrashReport {
  quarantine::Crash crash;
  std::string failure_domain;
  // When the crash was detected, on the store's steady clock.
  common::Duration store_time{};
};

// Returns the key of the crash's row, "DIGEST/NAME".
std::string RowKey(const quarantine::Crash& crash);
// Returns InvalidArgument when the key is not one of a crash.
absl::StatusOr<quarantine::Crash> DecodeRowKey(std::string_view key);

// Encodes what the key does not contain, as MessagePack.
std::string EncodeRowValue(const CrashReport& report);
// Returns InvalidArgument when the row is not a crash's.
absl::StatusOr<CrashReport> DecodeRow(std::string_view key,
                                      std::string_view value);

}  // namespace wagtailshore::crash_report

#endif  // PROTOCOL_CRASH_REPORT_CRASH_REPORT_H_
