#include "coordination/exchange/exchange.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace wagtailshore::exchange {
namespace {

using common::milliseconds;
using common::seconds;

constexpr common::Time kStart{seconds(1000)};

// Each endpoint without a free slot is tried once before the request waits.
TEST(ExchangeBusyTest, WaitsAtABusyEndpointOnceAllAreBusy) {
  Exchange exchange({.request = "r", .deadline = kStart + seconds(10)});
  auto action = exchange.Start(kStart);
  const std::vector<std::string> all = {"a", "b", "c"};
  for (const std::string& endpoint : all) {
    const auto& start = std::get<StartAttempt>(action);
    EXPECT_FALSE(start.may_wait);
    EXPECT_FALSE(start.avoid.contains(endpoint));
    exchange.OnSent(endpoint, kStart);
    action = exchange.OnAttemptEnd(AttemptEnd::kBusy, std::nullopt, kStart);
  }
  EXPECT_EQ(std::get<StartAttempt>(action).avoid.size(), all.size());
  action = exchange.OnNoEndpoint(kStart);
  EXPECT_TRUE(std::get<StartAttempt>(action).may_wait);
  EXPECT_TRUE(std::get<StartAttempt>(action).avoid.empty());
  exchange.OnSent("a", kStart);
  // Once an attempt may wait, a busy refusal counts as a failed attempt, and
  // the request is refused when no endpoint is left.
  exchange.OnAttemptEnd(AttemptEnd::kBusy, std::nullopt, kStart);
  action = exchange.OnNoEndpoint(kStart);
  EXPECT_EQ(std::get<GiveUp>(action).refusal.ran, refusal::Ran::kNotRun);
}

// Only attempts that repeat work count against the retry budget.
TEST(ExchangeRetryTest, ResumingAfterProgressIsNoRetry) {
  Exchange exchange({.request = "r", .deadline = kStart + seconds(10)});
  auto action = exchange.Start(kStart);
  EXPECT_FALSE(std::get<StartAttempt>(action).is_retry);
  const stream::AttemptId id = std::get<StartAttempt>(action).id;
  exchange.OnSent("a", kStart);
  exchange.OnFrame({.id = id, .offset = 0, .tokens = 1}, kStart);
  action = exchange.OnAttemptEnd(AttemptEnd::kBroken, std::nullopt, kStart);
  EXPECT_FALSE(std::get<StartAttempt>(action).is_retry);
  exchange.OnSent("b", kStart);
  action = exchange.OnAttemptEnd(AttemptEnd::kBroken, std::nullopt, kStart);
  EXPECT_TRUE(std::get<StartAttempt>(action).is_retry);
  exchange.OnSent("c", kStart);
  action = exchange.OnAttemptEnd(AttemptEnd::kBusy, std::nullopt, kStart);
  EXPECT_FALSE(std::get<StartAttempt>(action).is_retry);
  action = exchange.OnRetryBudgetExhausted(kStart);
  EXPECT_EQ(std::get<GiveUp>(action).refusal.ran, refusal::Ran::kUnknown);
}

// Whatever way and whenever attempts end, the request ends, and it is reported
// as not run only if no endpoint can have run it.
RC_GTEST_PROP(ExchangeBusyProperty, EndsAndIsHonest, ()) {
  const std::vector<std::string> endpoints = {"a", "b", "c", "d", "e"};
  common::Time now = kStart;
  Exchange exchange({.request = "r", .deadline = kStart + seconds(10)});
  Action action = exchange.Start(now);
  bool may_have_run = false;
  constexpr int kMaxSteps = 100;
  int steps = 0;
  while (!std::holds_alternative<GiveUp>(action)) {
    RC_ASSERT(++steps < kMaxSteps);
    now += milliseconds(*rc::gen::inRange(0, 500));
    if (const auto* start = std::get_if<StartAttempt>(&action)) {
      std::vector<std::string> left;
      for (const std::string& endpoint : endpoints) {
        if (!start->avoid.contains(endpoint)) {
          left.push_back(endpoint);
        }
      }
      action = left.empty() ? exchange.OnNoEndpoint(now)
                            : exchange.OnSent(*rc::gen::elementOf(left), now);
      continue;
    }
    const auto end = *rc::gen::element(
        AttemptEnd::kNotSent, AttemptEnd::kRefused, AttemptEnd::kBusy,
        AttemptEnd::kBroken, AttemptEnd::kTimedOut);
    may_have_run = may_have_run || end == AttemptEnd::kBroken ||
                   end == AttemptEnd::kTimedOut;
    action = exchange.OnAttemptEnd(end, std::nullopt, now);
  }
  const refusal::Refusal& refusal = std::get<GiveUp>(action).refusal;
  RC_ASSERT(!may_have_run || refusal.ran == refusal::Ran::kUnknown);
  RC_ASSERT(refusal.retry_after.has_value());
}

}  // namespace
}  // namespace wagtailshore::exchange
