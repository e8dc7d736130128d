#include "coordination/endpoint_limits/endpoint_limits.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace wagtailshore::endpoint_limits {
namespace {

using common::milliseconds;
using common::seconds;

constexpr common::Time kStart{common::seconds(100000)};
constexpr common::Duration kWindow = seconds(4);
constexpr char kEndpoint[] = "e1";

// Most requests in any window.
size_t MostInWindow(const std::vector<common::Time>& sent) {
  size_t most = 0;
  for (auto first = sent.begin(); first != sent.end(); ++first) {
    const auto end = std::upper_bound(first, sent.end(), *first + kWindow);
    most = std::max<size_t>(most, end - first);
  }
  return most;
}

// Gateways that all know the limit and each other, with any load on each: never
// more than the permits of a window and of the time that one may be kept.
RC_GTEST_PROP(EndpointLimitsProperty, AgreeingGatewaysKeepToIt, ()) {
  const size_t gateways = *rc::gen::inRange<size_t>(1, 60);
  const double limit = *rc::gen::inRange(1, 200) / 10.0;
  std::vector<EndpointLimits> all(gateways, EndpointLimits({}));
  std::vector<int> busy_percent;
  for (EndpointLimits& limits : all) {
    limits.OnAnswer(kEndpoint, limit, kStart, kStart);
    busy_percent.push_back(*rc::gen::inRange(0, 100));
  }
  std::vector<common::Time> sent;
  for (common::Time now = kStart; now < kStart + seconds(12);
       now += milliseconds(50)) {
    for (size_t i = 0; i < gateways; ++i) {
      const Share share{.index = i, .gateways = gateways};
      if (*rc::gen::inRange(0, 100) >= busy_percent[i] ||
          all[i].Exhausted(share, now).contains(kEndpoint)) {
        continue;
      }
      all[i].OnSent(kEndpoint, share, now);
      sent.push_back(now);
    }
  }
  const double rate = std::max(limit, EndpointLimitOptions{}.min_per_second);
  RC_ASSERT(static_cast<double>(MostInWindow(sent)) <= 5 * rate + 1);
}

struct UseCase {
  const char* name;
  size_t gateways;
  double limit;
  common::Duration request_interval;
};

class EndpointLimitsUseTest : public testing::TestWithParam<UseCase> {};

// Each gateway has requests at the interval.
TEST_P(EndpointLimitsUseTest, MostOfTheLimitIsUsed) {
  const UseCase& param = GetParam();
  std::vector<EndpointLimits> all(param.gateways, EndpointLimits({}));
  for (EndpointLimits& limits : all) {
    limits.OnAnswer(kEndpoint, param.limit, kStart, kStart);
  }
  const common::Duration length = seconds(60);
  size_t sent = 0;
  for (size_t i = 0; i < param.gateways; ++i) {
    const Share share{.index = i, .gateways = param.gateways};
    for (common::Time now = kStart; now < kStart + length;
         now += param.request_interval) {
      if (!all[i].Exhausted(share, now).contains(kEndpoint)) {
        all[i].OnSent(kEndpoint, share, now);
        ++sent;
      }
    }
  }
  const double allowed =
      param.limit * std::chrono::duration<double>(length).count();
  EXPECT_GE(static_cast<double>(sent), 0.8 * allowed);
  EXPECT_LE(static_cast<double>(sent), allowed + 1);
}

INSTANTIATE_TEST_SUITE_P(
    Sizes,
    EndpointLimitsUseTest,
    testing::Values(UseCase{"OneGateway", 1, 2.4, milliseconds(20)},
                    UseCase{"Six", 6, 2.4, milliseconds(100)},
                    UseCase{"FortySeven", 47, 2.4, milliseconds(200)},
                    UseCase{"FourHundred", 400, 3, milliseconds(500)},
                    UseCase{"FourHundredHigh", 400, 40, milliseconds(500)}),
    [](const auto& info) { return info.param.name; });

TEST(EndpointLimitsTest, WithoutAShareALimitedEndpointGetsNothing) {
  EndpointLimits limits({});
  limits.OnAnswer(kEndpoint, 100, kStart, kStart);
  EXPECT_TRUE(
      limits.Exhausted(std::nullopt, kStart + seconds(60)).contains(kEndpoint));
  EXPECT_EQ(limits.TimeToPermit(kEndpoint, std::nullopt, kStart), std::nullopt);
}

TEST(EndpointLimitsTest, LimitEndsWithAnAnswerToALaterRequest) {
  EndpointLimits limits({});
  const Share share;
  EXPECT_TRUE(limits.OnAnswer(kEndpoint, 1, kStart, kStart + seconds(1)));
  EXPECT_FALSE(
      limits.OnAnswer(kEndpoint, std::nullopt, kStart, kStart + seconds(2)));
  EXPECT_EQ(limits.size(), 1U);
  EXPECT_TRUE(limits.OnAnswer(kEndpoint, std::nullopt, kStart + seconds(1),
                              kStart + seconds(2)));
  EXPECT_TRUE(limits.Exhausted(share, kStart + seconds(2)).empty());
}

TEST(EndpointLimitsTest, LimitOfNothingIsAskedAboutNowAndThen) {
  EndpointLimits limits({});
  limits.OnAnswer(kEndpoint, 0, kStart, kStart);
  const Share share;
  int sent = 0;
  for (common::Time now = kStart; now < kStart + seconds(40);
       now += milliseconds(10)) {
    if (!limits.Exhausted(share, now).contains(kEndpoint)) {
      limits.OnSent(kEndpoint, share, now);
      ++sent;
    }
  }
  EXPECT_GE(sent, 9);
  EXPECT_LE(sent, 11);
}

TEST(EndpointLimitsTest, PermitIsOverdueBeforeItLapses) {
  EndpointLimits limits({});
  limits.OnAnswer(kEndpoint, 0.5, kStart, kStart);
  const Share share;
  int overdue = 0;
  for (common::Time now = kStart; now < kStart + seconds(20);
       now += milliseconds(10)) {
    if (limits.Overdue(share, now).contains(kEndpoint)) {
      EXPECT_FALSE(limits.Exhausted(share, now).contains(kEndpoint));
      limits.OnSent(kEndpoint, share, now);
      ++overdue;
    }
  }
  EXPECT_GE(overdue, 9);
  EXPECT_LE(overdue, 10);
  EXPECT_TRUE(limits.Overdue(std::nullopt, kStart + seconds(30)).empty());
}

TEST(EndpointLimitsTest, RestartedEndpointHasNoLimit) {
  EndpointLimits limits({});
  limits.OnAnswer(kEndpoint, 1, kStart, kStart);
  limits.OnRestarted(kEndpoint);
  EXPECT_TRUE(limits.Exhausted(std::nullopt, kStart).empty());
}

TEST(EndpointLimitsTest, ClockThatIsSetBackDoesNotStopPermits) {
  EndpointLimits limits({});
  limits.OnAnswer(kEndpoint, 2, kStart, kStart);
  const Share before;
  const common::Time now = kStart + seconds(5);
  ASSERT_FALSE(limits.Exhausted(before, now).contains(kEndpoint));
  limits.OnSent(kEndpoint, before, now);
  const Share after{.epoch = common::Time(seconds(50000))};
  EXPECT_FALSE(limits.Exhausted(after, now + seconds(2)).contains(kEndpoint));
  EXPECT_LE(*limits.TimeToPermit(kEndpoint, after, now + seconds(2)),
            seconds(1));
}

}  // namespace
}  // namespace wagtailshore::endpoint_limits
