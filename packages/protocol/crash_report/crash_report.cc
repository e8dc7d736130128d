#include "protocol/crash_report/crash_report.h"

#include <utility>

#include "common/json_integer.h"
#include "common/msgpack.h"
#include "common/strings.h"

namespace wagtailshore::crash_report {

using nlohmann::json;

std::string RowKey(const quarantine::Crash& crash) {
  return common::StrCat(crash.digest, "/", crash.name);
}

absl::StatusOr<quarantine::Crash> DecodeRowKey(std::string_view key) {
  const size_t slash = key.find('/');
  if (slash == 0 || slash == std::string_view::npos ||
      slash + 1 == key.size()) {
    return absl::InvalidArgumentError("not the key of a crash");
  }
  return quarantine::Crash{.digest = std::string(key.substr(0, slash)),
                           .name = std::string(key.substr(slash + 1))};
}

std::string EncodeRowValue(const CrashReport& report) {
  return common::PackMsgpack(
      {{"failure_domain", report.failure_domain},
       {"store_time_ms", common::ToMilliseconds(report.store_time)}});
}

absl::StatusOr<CrashReport> DecodeRow(std::string_view key,
                                      std::string_view value) {
  auto crash = DecodeRowKey(key);
  if (!crash.ok()) {
    return crash.status();
  }
  // Longer than any store's clock runs.
  constexpr int64_t kMaxStoreTimeMs = 100LL * 365 * 24 * 3600 * 1000;
  int64_t store_time_ms = 0;
  auto report = common::UnpackMsgpack(value, [&](const json& fields) {
    store_time_ms = common::IntegerFrom<int64_t>(fields.at("store_time_ms"));
    return CrashReport{
        .crash = *std::move(crash),
        .failure_domain = fields.at("failure_domain").get<std::string>()};
  });
  if (!report.ok()) {
    return report.status();
  }
  if (store_time_ms < 0 || store_time_ms > kMaxStoreTimeMs) {
    return absl::InvalidArgumentError("store_time_ms is out of range");
  }
  report->store_time = common::milliseconds(store_time_ms);
  return report;
}

}  // namespace wagtailshore::crash_report
