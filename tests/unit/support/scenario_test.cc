#include "support/scenario.h"

#include <gtest/gtest.h>

#include <sstream>

namespace wagtailshore::scenario {
namespace {

class RecordingWorld final : public World {
 public:
  void AdvanceTo(common::Duration at) override { now_ = at; }
  absl::Status Do(const Command& command) override {
    seen_ +=
        command.verb + "@" + std::to_string(common::ToMilliseconds(now_)) + " ";
    return command.verb == "fail" ? absl::InternalError("it failed")
                                  : absl::OkStatus();
  }
  const std::string& seen() const { return seen_; }

 private:
  common::Duration now_{};
  std::string seen_;
};

TEST(ScenarioTest, RunsCommandsAtTheirTimes) {
  std::istringstream text(
      "# a comment\n\nat 0s kill one\nat 250ms cut a b for=2s\n");
  RecordingWorld world;
  EXPECT_TRUE(RunScript(text, world).ok());
  EXPECT_EQ(world.seen(), "kill@0 cut@250 ");
}

struct BadCase {
  const char* name;
  const char* text;
  const char* message;
};

class BadScenarioTest : public testing::TestWithParam<BadCase> {};

TEST_P(BadScenarioTest, NamesTheLine) {
  std::istringstream text(GetParam().text);
  RecordingWorld world;
  EXPECT_EQ(RunScript(text, world).message(), GetParam().message);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    BadScenarioTest,
    testing::Values(
        BadCase{"NoTime", "kill one\n", "line 1: must be \"at TIME VERB ...\""},
        BadCase{"BadTime", "\nat soon kill\n",
                "line 2: \"soon\" is not a time like 250ms or 1.5s"},
        BadCase{"Backwards", "at 2s a\nat 1s b\n",
                "line 2: time is earlier than on the previous command"},
        BadCase{"Failing", "at 1s fail\n", "line 1: it failed"}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace wagtailshore::scenario
