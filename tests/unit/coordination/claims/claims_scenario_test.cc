#include <gtest/gtest.h>

#include <filesystem>

#include "support/call_scenario.h"
#include "support/claim_world.h"

namespace wagtailshore::test_support {
namespace {

class ClaimsScenarioTest : public testing::TestWithParam<std::string> {};

TEST_P(ClaimsScenarioTest, Holds) {
  CallScenario world([](const CallWorldOptions& options) {
    return std::make_unique<ClaimWorld>(options);
  });
  EXPECT_EQ(scenario::RunFile(GetParam(), world), absl::OkStatus());
  EXPECT_EQ(world.Finish(), absl::OkStatus());
}

std::vector<std::string> Files() {
  std::vector<std::string> files;
  for (const auto& file : std::filesystem::directory_iterator(SCENARIO_DIR)) {
    if (file.path().filename().string().starts_with("claims_")) {
      files.push_back(file.path().string());
    }
  }
  std::sort(files.begin(), files.end());
  return files;
}

INSTANTIATE_TEST_SUITE_P(
    Files,
    ClaimsScenarioTest,
    testing::ValuesIn(Files()),
    [](const auto& info) {
      return std::filesystem::path(info.param).stem().string();
    });

}  // namespace
}  // namespace wagtailshore::test_support
