#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <string>
#include <vector>

#include "e2e/process_world.h"
#include "support/scenario.h"
#include "transport/http_client/http_client.h"

namespace wagtailshore::e2e {
namespace {

// Returns the scenario files for real processes,
// tests/scenarios/real_*.scenario.
std::vector<std::string> ScenarioFiles() {
  std::vector<std::string> files;
  for (const auto& entry : std::filesystem::directory_iterator(SCENARIO_DIR)) {
    if (entry.path().filename().string().starts_with("real_")) {
      files.push_back(entry.path().string());
    }
  }
  std::sort(files.begin(), files.end());
  return files;
}

class RealProcesses : public testing::TestWithParam<std::string> {
 protected:
  static void SetUpTestSuite() { http_client::InitializeLibrary(); }
};

TEST_P(RealProcesses, RunTheScenario) {
  ProcessWorld world;
  const absl::Status status = scenario::RunFile(GetParam(), world);
  EXPECT_TRUE(status.ok()) << GetParam() << ": " << status;
}

INSTANTIATE_TEST_SUITE_P(
    All,
    RealProcesses,
    testing::ValuesIn(ScenarioFiles()),
    [](const auto& info) {
      return std::filesystem::path(info.param).stem().string();
    });

}  // namespace
}  // namespace wagtailshore::e2e
