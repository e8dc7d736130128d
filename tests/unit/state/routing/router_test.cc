#include "state/routing/router.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>

#include "common/strings.h"

namespace wagtailshore::routing {
namespace {

using common::milliseconds;
using common::seconds;

constexpr common::Time kStart{seconds(1000)};

std::unique_ptr<Router> TwoDomains() {
  auto router = std::make_unique<Router>(
      RouterOptions{.failure_domain = "here", .seed = 7});
  for (const char* name : {"a", "b"}) {
    router->Upsert(name, "here", "model");
  }
  for (const char* name : {"c", "d"}) {
    router->Upsert(name, "there", "model");
  }
  return router;
}

void ReportAll(Router& router, const char* names, uint32_t queued) {
  for (; *names != 0; ++names) {
    router.OnReport(std::string(1, *names), {.queued = queued, .running = 8},
                    kStart);
  }
}

TEST(RouterTest, CorrectsALaggingReportByOwnAttempts) {
  auto router = TwoDomains();
  router->Upsert("c", "there", "other");
  router->Upsert("d", "there", "other");
  const PickRequest only_a{.target = "model", .avoid = {"b"}};
  router->Pick(only_a, kStart);
  router->Pick(only_a, kStart + milliseconds(900));
  // Measured while one of the two own attempts was in flight.
  router->OnReport("a", {.running = 3, .age = milliseconds(500)},
                   kStart + seconds(1));
  EXPECT_EQ(router->candidates().at("a").other_load, 2U);
  EXPECT_EQ(router->candidates().at("a").load(), 4U);
  router->OnSuccess("a", {}, kStart + seconds(1));
  EXPECT_EQ(router->candidates().at("a").load(), 3U);
}

TEST(RouterTest, PrefersAHolderOfThePrefixUntilItIsLoaded) {
  auto router = std::make_unique<Router>(
      RouterOptions{.failure_domain = "here", .seed = 7, .choices = 1});
  for (int i = 0; i < 20; ++i) {
    router->Upsert(common::StrCat("e", i), "here", "model");
  }
  const PickRequest request{.target = "model",
                            .prefixes = {{.hash = 1, .tokens = 1000}}};
  const auto first = router->Pick(request, kStart);
  EXPECT_EQ(router->Pick(request, kStart), first);
  router->OnReport(*first, {.queued = 5, .running = 8}, kStart);
  EXPECT_NE(router->Pick(request, kStart), first);
}

// Guards against sending work to an engine that slows down its group: all ranks
// of the group wait for it in each step.
TEST(RouterTest, SlowEndpointGetsWorkOnlyWhenNobodyElseCan) {
  auto router = TwoDomains();
  ReportAll(*router, "bcd", 0);
  router->SetSlowEndpoints({"a"});
  for (int i = 0; i < 8; ++i) {
    EXPECT_NE(router->Pick({.target = "model"}, kStart), "a");
  }
  EXPECT_EQ(router->Pick({.target = "model", .avoid = {"b", "c", "d"}}, kStart),
            "a");
  // It is no longer slow.
  router->SetSlowEndpoints({});
  EXPECT_EQ(router->Pick({.target = "model"}, kStart), "a");
}

TEST(RouterTest, SpillsWithHysteresis) {
  auto router = TwoDomains();
  const PickRequest request{.target = "model"};
  const auto domain_of_pick = [&] {
    const std::string name = *router->Pick(request, kStart);
    router->OnAbandoned(name, kStart);
    return router->candidates().at(name).failure_domain;
  };
  const auto settle = [&] {
    constexpr int kPicks = 50;
    for (int i = 0; i < kPicks; ++i) {
      domain_of_pick();
    }
    return domain_of_pick();
  };
  EXPECT_EQ(settle(), "here");
  ReportAll(*router, "ab", 4);
  EXPECT_EQ(settle(), "there");
  // Between the two thresholds (8 running requests add 240 ms) spilling goes
  // on.
  router->OnReport("a", {.running = 8}, kStart);
  router->OnReport("b", {.running = 8}, kStart);
  EXPECT_EQ(router->candidates().at("a").slots, 8U);
  router->OnReport("a", {.running = 7}, kStart);
  router->OnReport("b", {.running = 7}, kStart);
  EXPECT_EQ(settle(), "there");
  router->OnReport("a", {.running = 1}, kStart);
  router->OnReport("b", {.running = 1}, kStart);
  EXPECT_EQ(settle(), "here");
}

TEST(RouterTest, EjectsForATimeThatDoubles) {
  Router router({.failure_domain = "here"});
  router.Upsert("a", "here", "model");
  router.Upsert("b", "here", "model");
  common::Time now = kStart;
  for (const auto expected : {500, 1000, 2000}) {
    router.OnFailure("a", now);
    EXPECT_EQ(router.candidates().at("a").ejected_until - now,
              milliseconds(expected));
    now = router.candidates().at("a").ejected_until;
  }
}

TEST(RouterTest, TakesARefusalForWantOfASlotAsFreshWord) {
  Router router({.failure_domain = "here"});
  router.Upsert("a", "here", "model");
  router.OnReport("a", {.running = 2, .slots = 8}, kStart);
  router.Pick({.target = "model"}, kStart);
  router.OnBusy("a", kStart);
  EXPECT_EQ(router.candidates().at("a").load(), 8U);
  EXPECT_EQ(router.candidates().at("a").consecutive_failures, 0U);
  router.OnReport("a", {.running = 3, .slots = 8}, kStart);
  EXPECT_EQ(router.candidates().at("a").load(), 3U);
}

TEST(PrefixHintsTest, AGapForgetsWhatWasKnownOfTheEndpoint) {
  PrefixHints hints(2);
  hints.OnEvent(1, {.sequence = 1, .added = {10}});
  hints.OnEvent(1, {.sequence = 2, .added = {11}});
  EXPECT_EQ(*hints.Holders(10), std::vector<uint32_t>{1});
  hints.OnEvent(1, {.sequence = 4, .added = {12}});
  EXPECT_TRUE(hints.Holders(11)->empty());
  EXPECT_EQ(*hints.Holders(12), std::vector<uint32_t>{1});
  EXPECT_EQ(hints.size(), 2U);
}

// For failures, endpoints that leave, restarts and picks in any order: a
// leaving or avoided endpoint is never picked, and ejection never leaves a
// request without an endpoint.
RC_GTEST_PROP(RouterProperty, PicksWhateverMayBePicked, ()) {
  const std::vector<std::string> names = {"a", "b", "c", "d", "e"};
  Router router(
      {.failure_domain = "here", .seed = *rc::gen::inRange<uint64_t>(1, 1000)});
  std::set<std::string> leaving;
  for (const std::string& name : names) {
    router.Upsert(name, name < "c" ? "here" : "there", "model");
  }
  common::Time now = kStart;
  const int steps = *rc::gen::inRange(1, 100);
  for (int i = 0; i < steps; ++i) {
    now += milliseconds(*rc::gen::inRange(0, 400));
    const auto name = *rc::gen::elementOf(names);
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
        router.OnLeaving(name);
        leaving.insert(name);
        break;
      case 1:
        router.OnRestarted(name);
        leaving.erase(name);
        break;
      case 2:
        router.OnReport(name,
                        {.queued = *rc::gen::inRange<uint32_t>(0, 9),
                         .running = *rc::gen::inRange<uint32_t>(0, 9),
                         .age = milliseconds(*rc::gen::inRange(0, 5000))},
                        now);
        break;
      case 3:
        router.OnFailure(name, now);
        break;
      default:
        const auto avoided = *rc::gen::container<std::vector<std::string>>(
            rc::gen::elementOf(names));
        const std::set<std::string> avoid(avoided.begin(), avoided.end());
        const auto picked =
            router.Pick({.target = "model",
                         .avoid = avoid,
                         .busy_refusals = *rc::gen::inRange(0U, 2U)},
                        now);
        std::set<std::string> allowed(names.begin(), names.end());
        std::erase_if(allowed, [&](const std::string& one) {
          return avoid.contains(one) || leaving.contains(one);
        });
        RC_ASSERT(picked.has_value() == !allowed.empty());
        RC_ASSERT(!picked.has_value() || allowed.contains(*picked));
    }
  }
}

}  // namespace
}  // namespace wagtailshore::routing
