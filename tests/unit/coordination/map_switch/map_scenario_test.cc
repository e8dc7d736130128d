#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <functional>
#include <sstream>

#include "absl/strings/numbers.h"
#include "common/strings.h"
#include "support/scenario.h"
#include "unit/coordination/map_switch/group_world.h"

// Runs tests/scenarios/map_*.scenario; docs/TESTING.md describes the verbs.
namespace wagtailshore::map_switch {
namespace {

using scenario::Command;

class MapScenarioWorld final : public scenario::World {
 public:
  MapScenarioWorld() { Reset({}); }

  void AdvanceTo(common::Duration at) override {
    group_->AdvanceTo(common::Time(at));
  }

  absl::Status Do(const Command& command) override {
    const auto verb = Verbs().find(command.verb);
    if (verb == Verbs().end()) {
      return absl::InvalidArgumentError("unknown verb: " + command.verb);
    }
    absl::Status done = verb->second(*this, command);
    if (done.ok() && !group_->violation().empty()) {
      return absl::InternalError(group_->violation());
    }
    return done;
  }

 private:
  using Handler =
      std::function<absl::Status(MapScenarioWorld&, const Command&)>;

  static const std::map<std::string, Handler>& Verbs();

  void Reset(const GroupOptions& options) {
    group_ = std::make_unique<GroupSimulation>(options);
  }

  static int NumberFrom(const std::string& text) {
    int number = 0;
    return absl::SimpleAtoi(text, &number) ? number : 0;
  }
  static int Rank(const Command& command, size_t index = 0) {
    return NumberFrom(command.words.at(index));
  }
  static std::string Option(const Command& command,
                            const std::string& name,
                            const std::string& fallback) {
    const auto found = command.options.find(name);
    return found == command.options.end() ? fallback : found->second;
  }

  absl::Status Group(const Command& command) {
    Reset({.ranks = NumberFrom(Option(command, "ranks", "4")),
           .checks_fencing = Option(command, "fencing", "checked") == "checked",
           .seed = static_cast<uint64_t>(
               NumberFrom(Option(command, "seed", "1")))});
    return absl::OkStatus();
  }

  absl::Status Stall(const Command& command) {
    const auto time = scenario::ParseDuration(Option(command, "for", "1s"));
    if (!time.ok()) {
      return time.status();
    }
    group_->Stall(Rank(command), group_->now() + *time);
    return absl::OkStatus();
  }

  absl::Status Links(const Command& command) {
    const LinkFaults faults{
        .lost_percent = NumberFrom(Option(command, "lost", "0")),
        .duplicated_percent = NumberFrom(Option(command, "doubled", "0")),
        .max_delay =
            common::milliseconds(NumberFrom(Option(command, "delay_ms", "1"))),
        .late_percent = NumberFrom(Option(command, "late", "0"))};
    group_->SetPeerFaults(faults);
    if (Option(command, "engines", "no") == "yes") {
      group_->SetEngineFaults(faults);
    }
    return absl::OkStatus();
  }

  absl::Status Expect(const Command& command);

  std::unique_ptr<GroupSimulation> group_;
  uint64_t step_seen_ = 0;
};

absl::Status MapScenarioWorld::Expect(const Command& command) {
  const std::string& what = command.words.at(0);
  std::string actual;
  std::string expected;
  if (what == "map") {
    actual = common::StrCat(group_->lowest_version(), "..",
                            group_->highest_version());
    expected = common::StrCat(command.words.at(1), "..", command.words.at(1));
  } else if (what == "undecided") {
    actual = common::StrCat(group_->undecided());
    expected = command.words.at(1);
  } else if (what == "result") {
    const auto result = group_->result(Rank(command, 1));
    actual =
        result ? std::string(NameOf(kProposalResultNames, *result)) : "none";
    expected = command.words.at(2);
  } else if (what == "steps" || what == "no_steps") {
    const bool stepped = group_->lowest_step() > step_seen_;
    step_seen_ = group_->lowest_step();
    actual = stepped ? "steps" : "no_steps";
    expected = what;
  } else {
    return absl::InvalidArgumentError("unknown expectation: " + what);
  }
  return actual == expected ? absl::OkStatus()
                            : absl::InternalError(common::StrCat(
                                  "expected ", expected, ", saw ", actual));
}

const std::map<std::string, MapScenarioWorld::Handler>&
MapScenarioWorld::Verbs() {
  // Wraps an action that cannot fail.
  const auto plain = [](auto action) -> Handler {
    return [action](MapScenarioWorld& world, const Command& command) {
      action(*world.group_, command);
      return absl::OkStatus();
    };
  };
  using Simulation = GroupSimulation;
  static const std::map<std::string, Handler> verbs = {
      {"group", &MapScenarioWorld::Group},
      {"stall", &MapScenarioWorld::Stall},
      {"links", &MapScenarioWorld::Links},
      {"expect", &MapScenarioWorld::Expect},
      {"propose",
       plain([](Simulation& s, const Command& c) { s.Propose(Rank(c)); })},
      {"kill",
       plain([](Simulation& s, const Command& c) { s.Kill(Rank(c), false); })},
      {"pause",
       plain([](Simulation& s, const Command& c) { s.Kill(Rank(c), true); })},
      {"start",
       plain([](Simulation& s, const Command& c) { s.Start(Rank(c)); })},
      {"cut", plain([](Simulation& s, const Command& c) {
         s.CutLink(Rank(c), Rank(c, 1));
       })},
      {"heal", plain([](Simulation& s, const Command&) { s.RestoreLinks(); })},
      {"fail_loads", plain([](Simulation& s, const Command& c) {
         s.FailLoads(Rank(c), true);
       })},
      {"mend_loads", plain([](Simulation& s, const Command& c) {
         s.FailLoads(Rank(c), false);
       })},
      {"platform_down",
       plain([](Simulation& s, const Command&) { s.SetWeightStore(false); })},
      {"platform_up",
       plain([](Simulation& s, const Command&) { s.SetWeightStore(true); })},
  };
  return verbs;
}

std::vector<std::string> ScenarioFiles() {
  std::vector<std::string> names;
  for (const auto& entry : std::filesystem::directory_iterator(SCENARIO_DIR)) {
    const std::string name = entry.path().stem().string();
    if (name.starts_with("map_")) {
      names.push_back(name);
    }
  }
  std::sort(names.begin(), names.end());
  return names;
}

class MapScenarioTest : public testing::TestWithParam<std::string> {};

TEST_P(MapScenarioTest, Holds) {
  MapScenarioWorld world;
  const absl::Status status = scenario::RunFile(
      common::StrCat(SCENARIO_DIR, "/", GetParam(), ".scenario"), world);
  EXPECT_TRUE(status.ok()) << status;
}

INSTANTIATE_TEST_SUITE_P(All,
                         MapScenarioTest,
                         testing::ValuesIn(ScenarioFiles()),
                         [](const auto& info) { return info.param; });

}  // namespace
}  // namespace wagtailshore::map_switch
