#include "coordination/quarantine/quarantine.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <time.h>

#include <chrono>
#include <tuple>

#include "common/strings.h"
#include "support/scenario.h"
#include "unit/coordination/quarantine/fleet.h"

namespace wagtailshore::quarantine {
namespace {

using common::milliseconds;
using common::seconds;

// One entry sends the bad content in any number and order, along with good
// requests: at most two endpoints crash, and no good request is refused.
RC_GTEST_PROP(QuarantineProperty, OneEntryLosesTwoEndpointsAtMost, ()) {
  constexpr size_t kEndpoints = 6;
  Fleet fleet(1, kEndpoints);
  const int steps = *rc::gen::inRange(1, 200);
  for (int i = 0; i < steps; ++i) {
    const auto endpoint = *rc::gen::inRange<size_t>(0, kEndpoints);
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        fleet.Send(0, kBadContent, endpoint);
        break;
      case 1: {
        const bool refused = fleet.Send(
            0, common::StrCat("good-", *rc::gen::inRange(0, 5)), endpoint);
        RC_ASSERT(!refused);
        break;
      }
      default:
        fleet.EndFirst();
    }
    fleet.Advance(milliseconds(*rc::gen::inRange(0, 1000)));
    RC_ASSERT(fleet.crashes() <= 2);
  }
}

// Several entries that exchange their records after each request lose at most
// two endpoints in total; entries that are partitioned, at most two each.
RC_GTEST_PROP(QuarantineProperty, EntriesShareWhatTheyKnow, ()) {
  constexpr size_t kEntries = 3;
  constexpr size_t kEndpoints = 6;
  const bool partitioned = *rc::gen::arbitrary<bool>();
  Fleet fleet(kEntries, kEndpoints);
  for (int i = 0; i < 20; ++i) {
    const auto entry = *rc::gen::inRange<size_t>(0, kEntries);
    fleet.Send(entry, kBadContent, *rc::gen::inRange<size_t>(0, kEndpoints));
    fleet.EndAll();
    for (size_t other = 0; other < kEntries && !partitioned; ++other) {
      fleet.SendRecords(entry, other);
    }
  }
  RC_ASSERT(fleet.crashes() <=
            (partitioned ? static_cast<int>(2 * kEntries) : 2));
}

TEST(QuarantineTest, WindsBackThoughEntriesGoOnTelling) {
  Fleet fleet(2, 4);
  for (size_t endpoint = 0; endpoint < 2; ++endpoint) {
    fleet.Send(0, kBadContent, endpoint);
    fleet.EndAll();
  }
  // One message per half second, alternating; each takes half a second.
  const auto exchange_for = [&](int periods) {
    for (int i = 0; i < periods; ++i) {
      fleet.SendRecords(0, 1, milliseconds(500));
      fleet.SendRecords(1, 0, milliseconds(500));
    }
  };
  // The first message is slow, so that the second entry's record ends later.
  fleet.SendRecords(0, 1, milliseconds(1500));
  exchange_for(597);
  EXPECT_TRUE(fleet.Send(0, kBadContent, 0));
  EXPECT_TRUE(fleet.Send(1, kBadContent, 0));
  bool expired = false;
  bool revived = false;
  for (int i = 0; i < 8; ++i) {
    exchange_for(1);
    const bool refused = fleet.Send(0, kBadContent, 0);
    revived = revived || (expired && refused);
    expired = expired || !refused;
  }
  EXPECT_TRUE(expired);
  EXPECT_FALSE(revived);
}

TEST(QuarantineTest, AClearedContentDoesNotComeBack) {
  Quarantine first({});
  Quarantine second({});
  const uint64_t lost = first.OnSent({"good"}, "e/1");
  EXPECT_FALSE(first.OnEnded(lost, true, false, kStart).quarantines);
  second.Merge(first.Export(kStart), kStart);
  EXPECT_EQ(second.suspects(), 1U);
  const uint64_t served = second.OnSent({"good"}, "f/1");
  second.OnEnded(served, false, true, kStart);
  second.Merge(first.Export(kStart), kStart);
  EXPECT_EQ(second.suspects(), 0U);
}

TEST(QuarantineTest, ManyInnocentSuspectsDoNotEvictAQuarantinedContent) {
  Quarantine quarantine({.max_records = 8});
  for (const char* endpoint : {"e/1", "f/1"}) {
    quarantine.OnEnded(quarantine.OnSent({"bad"}, endpoint), true, false,
                       kStart);
  }
  for (int i = 0; i < 100; ++i) {
    quarantine.OnEnded(quarantine.OnSent({common::StrCat("good", i)}, "g/1"),
                       true, false, kStart + seconds(i));
  }
  EXPECT_LE(quarantine.suspects(), 8U);
  EXPECT_TRUE(std::holds_alternative<Refused>(
      quarantine.Check({"bad"}, kStart + seconds(100))));
}

TEST(QuarantineTest, EndpointsThatCameAndWentAreNotKept) {
  Quarantine quarantine({.retention = seconds(10)});
  for (int i = 0; i < 1000; ++i) {
    const common::Time now = kStart + seconds(i);
    const std::string endpoint = common::StrCat("e/", i);
    quarantine.OnEnded(quarantine.OnSent({"good"}, endpoint), false, true, now);
    quarantine.OnEnded(quarantine.OnSent({common::StrCat("lost", i)}, endpoint),
                       true, false, now);
  }
  EXPECT_LE(quarantine.crashed_endpoints(), 10U);
}

// A content with one crash at "a/1" and, unless stated otherwise, losses of
// other endpoints around it.
struct OutageCase {
  const char* name;
  // Endpoint processes that are lost besides those that the content crashed,
  // their failure domain and the time after the content's first crash.
  std::vector<std::string> lost;
  const char* failure_domain;
  common::Duration after;
  bool quarantined;
};

class QuarantineOutageTest : public testing::TestWithParam<OutageCase> {};

TEST_P(QuarantineOutageTest, HoldsOnlyUnexplainedCrashesAgainstAContent) {
  const OutageCase& param = GetParam();
  Quarantine quarantine({});
  const auto crash = [&](const std::string& endpoint, common::Time now) {
    const uint64_t attempt = quarantine.OnSent({"content"}, endpoint);
    quarantine.OnEndpointLost(endpoint, "d1", now, now);
    quarantine.OnEnded(attempt, true, false, now);
  };
  crash("a/1", kStart);
  for (const std::string& endpoint : param.lost) {
    quarantine.OnEndpointLost(endpoint, param.failure_domain,
                              kStart + param.after, kStart + param.after);
  }
  crash("b/1", kStart + seconds(20));
  EXPECT_EQ(quarantine.IsQuarantined("content"), param.quarantined);
  EXPECT_EQ(std::holds_alternative<Refused>(
                quarantine.Check({"content"}, kStart + seconds(20))),
            param.quarantined);
}

INSTANTIATE_TEST_SUITE_P(
    Losses,
    QuarantineOutageTest,
    testing::Values(
        OutageCase{"None", {}, "d1", {}, true},
        OutageCase{"DomainWentDown", {"x/1", "y/1"}, "d1", seconds(1), false},
        OutageCase{"OneOther", {"x/1"}, "d1", seconds(1), true},
        OutageCase{"OtherDomain", {"x/1", "y/1"}, "d2", seconds(1), true},
        OutageCase{"Later", {"x/1", "y/1"}, "d1", seconds(3), true},
        // Processes of the endpoint that the content crashed, restarted before
        // the list showed it.
        OutageCase{"OwnEndpoints", {"a/2", "b/2"}, "d1", seconds(1), true}),
    [](const auto& info) { return info.param.name; });

// Each of three contents crashes endpoints while the others do.
TEST(QuarantineTest, ContentsThatCrashEndpointsTogetherAreNoOutage) {
  Quarantine quarantine({});
  int crashes = 0;
  for (int round = 0; round < 20; ++round) {
    const common::Time now = kStart + milliseconds(100 * round);
    for (int content = 0; content < 3; ++content) {
      const std::string digest = common::StrCat("bad", content);
      if (std::holds_alternative<Refused>(quarantine.Check({digest}, now))) {
        continue;
      }
      const std::string endpoint =
          common::StrCat("e", content, "-", round, "/1");
      const uint64_t attempt = quarantine.OnSent({digest}, endpoint);
      quarantine.OnEndpointLost(endpoint, "d1", now, now);
      quarantine.OnEnded(attempt, true, false, now);
      ++crashes;
    }
  }
  EXPECT_LE(crashes, 3 * 4);
}

TEST(QuarantineTest, AttemptOfUnknownFateDoesNotHoldUpRetries) {
  Quarantine quarantine({});
  const uint64_t lost = quarantine.OnSent({"content"}, "e/1");
  quarantine.OnUnanswered(lost);
  const Verdict verdict = quarantine.Check({"content"}, kStart);
  ASSERT_TRUE(std::holds_alternative<MayRun>(verdict));
  EXPECT_FALSE(std::get<MayRun>(verdict).pinned_endpoint.has_value());
  const uint64_t retry = quarantine.OnSent({"content"}, "f/1");
  EXPECT_FALSE(quarantine.OnEnded(lost, true, false, kStart).quarantines);
  EXPECT_TRUE(quarantine.OnEnded(retry, true, false, kStart).quarantines);
}

// A content that many callers ask for is in flight at most endpoints that
// crash.
TEST(QuarantineTest, ContentThatWasJustAnsweredIsNoSuspect) {
  Quarantine quarantine({.innocence_time = seconds(10)});
  quarantine.OnEnded(quarantine.OnSent({"content"}, "e/1"), false, true,
                     kStart);
  const auto crash_all = [&](common::Time now) {
    for (const char* endpoint : {"e/1", "f/1", "g/1", "h/1", "i/1"}) {
      if (!quarantine.IsQuarantined("content")) {
        quarantine.OnEnded(quarantine.OnSent({"content"}, endpoint), true,
                           false, now);
      }
    }
    return quarantine.IsQuarantined("content");
  };
  EXPECT_FALSE(crash_all(kStart + seconds(10)));
  EXPECT_TRUE(quarantine.WasAnswered("content", kStart + seconds(10)));
  EXPECT_TRUE(crash_all(kStart + seconds(11)));
}

TEST(QuarantineTest, AnswerClearsAContentThatWasQuarantinedMeanwhile) {
  Quarantine quarantine({});
  const uint64_t in_flight = quarantine.OnSent({"content"}, "h/1");
  const uint64_t first = quarantine.OnSent({"content"}, "e/1");
  const uint64_t second = quarantine.OnSent({"content"}, "f/1");
  quarantine.OnEnded(first, true, false, kStart);
  EXPECT_TRUE(quarantine.OnEnded(second, true, false, kStart).quarantines);
  quarantine.OnEnded(in_flight, false, true, kStart);
  EXPECT_FALSE(quarantine.IsQuarantined("content"));
}

TEST(QuarantineTest, WithdrawnCrashesNoLongerCount) {
  Quarantine quarantine({});
  for (const char* endpoint : {"e/1", "f/1"}) {
    quarantine.OnEnded(quarantine.OnSent({"content"}, endpoint), true, false,
                       kStart);
  }
  EXPECT_TRUE(quarantine.IsQuarantined("content"));
  const std::vector<Crash> withdrawn =
      quarantine.WithdrawEndpoint("e/1", kStart);
  ASSERT_EQ(withdrawn.size(), 1U);
  EXPECT_EQ(withdrawn[0].digest, "content");
  EXPECT_EQ(ProcessOf(withdrawn[0]), "e/1");
  EXPECT_FALSE(quarantine.IsQuarantined("content"));
  quarantine.Withdraw({.digest = "content", .name = "f/1#0"}, kStart);
  EXPECT_EQ(quarantine.suspects(), 0U);
}

// Requests with parts of prompts at one gateway, as sets of factors.
class PromptPartQuarantineTest : public testing::Test {
 protected:
  static std::string Part(const std::string& id) {
    return PromptPartFactor(id, "m");
  }

  // Sends a request with the parts and a content of its own. Returns whether
  // it is refused.
  bool Refuses(const std::vector<std::string>& parts) {
    return std::holds_alternative<Refused>(
        quarantine_.Check(FactorsOf(parts), now_));
  }
  // The requests are in flight at an endpoint that crashes.
  void Crash(const std::vector<std::vector<std::string>>& requests) {
    now_ += seconds(4);
    std::vector<uint64_t> attempts;
    attempts.reserve(requests.size());
    const std::string endpoint = common::StrCat("e", ++endpoints_, "/1");
    for (const auto& parts : requests) {
      attempts.push_back(quarantine_.OnSent(FactorsOf(parts), endpoint));
    }
    for (const uint64_t attempt : attempts) {
      quarantine_.OnEnded(attempt, /*crashed=*/true, /*answered=*/false, now_);
    }
  }
  void Answer(const std::vector<std::string>& parts) {
    quarantine_.OnEnded(quarantine_.OnSent(FactorsOf(parts), "a/1"),
                        /*crashed=*/false, /*answered=*/true, now_);
  }

  Factors FactorsOf(const std::vector<std::string>& parts) {
    Factors factors = {common::StrCat("content", ++contents_)};
    for (const std::string& part : parts) {
      factors.push_back(Part(part));
    }
    return factors;
  }

  Quarantine quarantine_{{.max_answered = 16}};
  common::Time now_ = kStart;
  int endpoints_ = 0;
  int contents_ = 0;
};

TEST_F(PromptPartQuarantineTest, PartIsRefusedAfterTwoCrashesInAnyContent) {
  Answer({"f"});
  Crash({{"f", "bad"}});
  EXPECT_FALSE(Refuses({"f", "bad"}));
  Crash({{"f", "bad"}});
  EXPECT_TRUE(Refuses({"f", "bad"}));
  EXPECT_TRUE(Refuses({"g", "bad"}));
  EXPECT_FALSE(Refuses({"f", "good"}));
}

TEST_F(PromptPartQuarantineTest, NewFirstPartIsToldApartFromTheCrashingOne) {
  Crash({{"f", "bad"}});
  Crash({{"f", "bad"}});
  EXPECT_TRUE(Refuses({"f", "bad"}));
  ASSERT_FALSE(Refuses({"f", "good"}));
  Answer({"f", "good"});
  EXPECT_FALSE(Refuses({"f"}));
  EXPECT_TRUE(Refuses({"bad"}));
}

TEST_F(PromptPartQuarantineTest, CrashesOfTwoBadPartsAreNotHeldAgainstAThird) {
  Crash({{"x"}, {"bad1"}});
  Crash({{"x"}, {"bad2"}});
  EXPECT_TRUE(Refuses({"x"}));
  Crash({{"bad1"}});
  Crash({{"bad2"}});
  EXPECT_FALSE(Refuses({"x"}));
  EXPECT_TRUE(Refuses({"bad1"}));
  EXPECT_TRUE(Refuses({"bad2"}));
}

TEST_F(PromptPartQuarantineTest, AnsweredPartThatTurnsBadIsRefused) {
  Answer({"f"});
  now_ += seconds(60);
  int crashes = 0;
  while (!Refuses({"f"}) && crashes < 10) {
    Crash({{"f"}});
    ++crashes;
  }
  EXPECT_EQ(crashes, 4);
}

TEST_F(PromptPartQuarantineTest, ManyAnsweredContentsDoNotEvictAnAnsweredPart) {
  Answer({"f"});
  for (int i = 0; i < 100; ++i) {
    Answer({});
  }
  Crash({{"f"}});
  EXPECT_EQ(quarantine_.CrashesOf(Part("f")).size(), 0U);
}

TEST_F(PromptPartQuarantineTest, PartOfAnotherModelIsAnotherFactor) {
  EXPECT_NE(PromptPartFactor("f", "m"), PromptPartFactor("f", "n"));
  EXPECT_EQ(LogField(PromptPartFactor("f", "m")), "part=f");
  EXPECT_EQ(LogField("0a1b"), "content=0a1b");
  const std::string longest(1000, 'a');
  EXPECT_LT(PromptPartFactor(longest, "m").size(), 80U);
}

// Scenario verbs: "send ENTRY CONTENT ENDPOINT [refused]", "end" (all in
// flight), "tell FROM TO", "expect crashes N".
class FleetWorld final : public scenario::World {
 public:
  void AdvanceTo(common::Duration at) override {
    fleet_.Advance(at - now_);
    now_ = at;
  }

  absl::Status Do(const scenario::Command& command) override {
    const auto number = [&](size_t word) {
      return std::stoul(command.words.at(word));
    };
    if (command.verb == "send") {
      const bool refused =
          fleet_.Send(number(0), command.words.at(1), number(2));
      const bool expected = command.words.back() == "refused";
      return refused == expected
                 ? absl::OkStatus()
                 : absl::FailedPreconditionError(refused ? "was refused"
                                                         : "was not refused");
    }
    if (command.verb == "end") {
      fleet_.EndAll();
      return absl::OkStatus();
    }
    if (command.verb == "tell") {
      fleet_.SendRecords(number(0), number(1));
      return absl::OkStatus();
    }
    if (command.verb == "expect") {
      return fleet_.crashes() == static_cast<int>(number(1))
                 ? absl::OkStatus()
                 : absl::FailedPreconditionError(
                       common::StrCat(fleet_.crashes(), " crashes"));
    }
    return absl::InvalidArgumentError("no such verb");
  }

 private:
  Fleet fleet_{3, 6};
  common::Duration now_{};
};

// Processor time, as other load must not decide.
common::Duration ProcessorTime() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return std::chrono::duration_cast<common::Duration>(
      std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

// A failure domain goes down with so many requests in flight, no two alike,
// with parts that many share. Returns the processor time for taking over the
// reports of it and for the requests in between.
common::Duration TimeToTakeOver(int requests) {
  constexpr int kEndpoints = 70;
  constexpr int kParts = 60;
  // Reports that are read together, and requests until the next ones.
  constexpr int kReportsRead = 100;
  constexpr int kRequestsBetween = 10;
  Quarantine quarantine({});
  const common::Time now = kStart;
  const common::Duration began = ProcessorTime();
  int reports = 0;
  for (int i = 0; i < requests; ++i) {
    const std::string process = common::StrCat("e", i % kEndpoints, "/1");
    for (const std::string& digest :
         {common::StrCat("content", i),
          PromptPartFactor(common::StrCat("part", i % kParts), "m")}) {
      quarantine.OnEndpointLost(process, "d", now, now);
      quarantine.Merge({{.digest = digest,
                         .crashes = {process + "#0"},
                         .ends_in = seconds(600)}},
                       now);
      if (++reports % kReportsRead != 0) {
        continue;
      }
      for (int request = 0; request < kRequestsBetween; ++request) {
        const Factors factors = {common::StrCat("own", reports, request)};
        std::ignore = quarantine.Check(factors, now);
        quarantine.OnEnded(quarantine.OnSent(factors, "other/1"),
                           /*crashed=*/false, /*answered=*/true, now);
      }
    }
  }
  return ProcessorTime() - began;
}

// Instrumented code takes about ten times as long.
#ifdef __SANITIZE_ADDRESS__
constexpr int kInstrumentation = 10;
#else
constexpr int kInstrumentation = 1;
#endif

// At the target size 70 of 1,400 endpoints go down together, with 20 requests
// each. A gateway has a quarter of a core, and half a second until callers
// notice.
TEST(QuarantineCostTest, ReportsOfAFailureDomainDoNotHoldUpTheGateway) {
  constexpr int kRequests = 70 * 20;
  EXPECT_LT(TimeToTakeOver(kRequests), kInstrumentation * milliseconds(125));
}

TEST(QuarantineScenarioTest, QuarantineCrashingContent) {
  FleetWorld world;
  const absl::Status run = scenario::RunFile(
      std::string(SCENARIO_DIR) + "/quarantine_crashing_content.scenario",
      world);
  EXPECT_TRUE(run.ok()) << run;
}

}  // namespace
}  // namespace wagtailshore::quarantine
