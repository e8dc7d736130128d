#include "protocol/crash_report/crash_report.h"

#include <gtest/gtest.h>

namespace wagtailshore::crash_report {
namespace {

TEST(CrashReportTest, RowReturnsWhatWasReported) {
  const CrashReport report{.crash = {.digest = "4f00", .name = "i-1/177#0"},
                           .failure_domain = "z",
                           .store_time = common::milliseconds(12345)};
  const auto decoded = DecodeRow(RowKey(report.crash), EncodeRowValue(report));
  ASSERT_TRUE(decoded.ok());
  EXPECT_EQ(decoded->crash.digest, report.crash.digest);
  EXPECT_EQ(decoded->crash.name, report.crash.name);
  EXPECT_EQ(decoded->failure_domain, report.failure_domain);
  EXPECT_EQ(decoded->store_time, report.store_time);
}

struct MalformedCase {
  const char* name;
  std::string key;
  std::string value;
};

class MalformedReportTest : public testing::TestWithParam<MalformedCase> {};

TEST_P(MalformedReportTest, IsRefused) {
  EXPECT_EQ(DecodeRow(GetParam().key, GetParam().value).status().code(),
            absl::StatusCode::kInvalidArgument);
}

INSTANTIATE_TEST_SUITE_P(
    Rows,
    MalformedReportTest,
    testing::Values(MalformedCase{"NoDigest", "/e#0", EncodeRowValue({})},
                    MalformedCase{"NoName", "4f00/", EncodeRowValue({})},
                    MalformedCase{"NoSlash", "4f00", EncodeRowValue({})},
                    MalformedCase{"EmptyValue", "4f00/e#0", ""},
                    MalformedCase{"NoMap", "4f00/e#0", "\x01"},
                    MalformedCase{"NoFields", "4f00/e#0", "\x80"}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace wagtailshore::crash_report
