// Scripted scenarios of the manifest roll-out and of leaving endpoints.

#include <gtest/gtest.h>

#include "absl/strings/numbers.h"
#include "common/strings.h"
#include "support/rollout_world.h"
#include "support/scenario.h"

namespace wagtailshore::test_support {
namespace {

absl::Status Failed(const std::string& what) {
  return absl::FailedPreconditionError(what);
}

const char* NameOf(SubmitResult result) {
  switch (result) {
    case SubmitResult::kNone:
      return "none";
    case SubmitResult::kAccepted:
      return "accepted";
    case SubmitResult::kConflict:
      return "conflict";
    case SubmitResult::kUnknown:
      return "unknown";
  }
  return "none";
}

// The verbs are described in docs/TESTING.md.
class RolloutScenarioWorld final : public scenario::World {
 public:
  explicit RolloutScenarioWorld(size_t direct_limit)
      : world_({.direct_limit = direct_limit}) {}

  void AdvanceTo(common::Duration at) override { world_.AdvanceTo(at); }

  absl::Status Do(const scenario::Command& command) override {
    if (!world_.first_violation().empty()) {
      return Failed(world_.first_violation());
    }
    const auto verb = kVerbs.find(command.verb);
    if (verb == kVerbs.end() || command.words.empty()) {
      if (command.verb == "lose_answer") {
        world_.LoseWriteAnswers(1);
        return absl::OkStatus();
      }
      return absl::InvalidArgumentError("unknown verb or missing argument");
    }
    return (this->*verb->second)(command);
  }

 private:
  using Verb = absl::Status (RolloutScenarioWorld::*)(const scenario::Command&);

  absl::Status Fault(const scenario::Command& command) {
    const std::string& name = command.words[0];
    if (command.verb == "cut") {
      world_.Cut(name);
    } else if (command.verb == "heal") {
      world_.Heal(name);
    } else if (command.verb == "store") {
      world_.SetStoreDown(name == "down");
    } else if (command.verb == "kill") {
      world_.Kill(name);
    } else if (command.verb == "restart") {
      world_.Kill(name);
      world_.Start(name);
    } else {
      world_.Leave(name);
    }
    return absl::OkStatus();
  }

  absl::Status Mute(const scenario::Command& command) {
    const auto duration = scenario::ParseDuration(command.options.at("for"));
    if (!duration.ok()) {
      return duration.status();
    }
    world_.Mute(command.words[0], *duration);
    return absl::OkStatus();
  }

  absl::Status Submit(const scenario::Command& command) {
    std::optional<uint64_t> base;
    const auto option = command.options.find("base");
    if (option != command.options.end()) {
      base = std::stoull(option->second);
    }
    submits_[command.words[1]] =
        world_.SubmitAt(command.words[0], base, command.words[1]);
    return absl::OkStatus();
  }

  absl::Status ExpectVersion(const scenario::Command& command) {
    const uint64_t version = std::stoull(command.words[0]);
    const auto domain = command.options.find("domain");
    for (const auto& [name, process] : world_.processes()) {
      const bool selected = domain == command.options.end() ||
                            domain->second == process.failure_domain;
      if (selected && process.running && process.version_seen != version) {
        return Failed(
            common::StrCat(name, " has version ", process.version_seen));
      }
    }
    return absl::OkStatus();
  }

  absl::Status ExpectResult(const scenario::Command& command) {
    const test_support::Submit& submit = *submits_.at(command.words[0]);
    if (NameOf(submit.result) != command.words.at(1)) {
      return Failed(common::StrCat("result is ", NameOf(submit.result)));
    }
    const auto version = command.options.find("version");
    if (version != command.options.end() &&
        std::to_string(submit.version) != version->second) {
      return Failed(common::StrCat("version is ", submit.version));
    }
    const auto winner = command.options.find("winner");
    if (winner != command.options.end() &&
        submit.current_digest != common::StrCat("digest-", winner->second)) {
      return Failed(
          common::StrCat("reports winner ", submit.current_digest, " instead"));
    }
    return absl::OkStatus();
  }

  absl::Status ExpectWork(const scenario::Command& command) {
    const Process& endpoint = world_.process(command.words[0]);
    const bool recently =
        endpoint.last_begun.has_value() &&
        world_.now() - *endpoint.last_begun < common::seconds(1);
    const bool expected = command.verb == "expect_work";
    return recently == expected
               ? absl::OkStatus()
               : Failed(recently ? "began work" : "began no work");
  }

  absl::Status ExpectNothingSent(const scenario::Command& command) {
    const auto since = scenario::ParseDuration(command.options.at("since"));
    if (!since.ok()) {
      return since.status();
    }
    const Process& endpoint = world_.process(command.words[0]);
    const auto& refused = endpoint.last_refused;
    return refused.has_value() && world_.SinceStart(*refused) > *since
               ? Failed("received work")
               : absl::OkStatus();
  }

  inline static const std::map<std::string, Verb> kVerbs = {
      {"cut", &RolloutScenarioWorld::Fault},
      {"heal", &RolloutScenarioWorld::Fault},
      {"store", &RolloutScenarioWorld::Fault},
      {"kill", &RolloutScenarioWorld::Fault},
      {"restart", &RolloutScenarioWorld::Fault},
      {"leave", &RolloutScenarioWorld::Fault},
      {"mute", &RolloutScenarioWorld::Mute},
      {"submit", &RolloutScenarioWorld::Submit},
      {"expect_version", &RolloutScenarioWorld::ExpectVersion},
      {"expect_result", &RolloutScenarioWorld::ExpectResult},
      {"expect_work", &RolloutScenarioWorld::ExpectWork},
      {"expect_no_work", &RolloutScenarioWorld::ExpectWork},
      {"expect_nothing_sent", &RolloutScenarioWorld::ExpectNothingSent},
  };

  RolloutWorld world_;
  std::map<std::string, std::shared_ptr<test_support::Submit>> submits_;
};

class RolloutScenarioTest
    : public testing::TestWithParam<std::tuple<const char*, size_t>> {};

TEST_P(RolloutScenarioTest, Holds) {
  RolloutScenarioWorld world(std::get<1>(GetParam()));
  const absl::Status status = scenario::RunFile(
      common::StrCat(SCENARIO_DIR, "/", std::get<0>(GetParam()), ".scenario"),
      world);
  EXPECT_TRUE(status.ok()) << status;
}

INSTANTIATE_TEST_SUITE_P(
    All,
    RolloutScenarioTest,
    testing::Combine(testing::Values("rollout_cut",
                                     "rollout_race",
                                     "rollout_store_down",
                                     "leaving_heard",
                                     "leaving_unheard"),
                     // Through relays only, and with direct exchanges.
                     testing::Values(0, 48)),
    [](const auto& info) {
      return common::StrCat(
          std::get<0>(info.param),
          std::get<1>(info.param) == 0 ? "_relays" : "_direct");
    });

}  // namespace
}  // namespace wagtailshore::test_support
