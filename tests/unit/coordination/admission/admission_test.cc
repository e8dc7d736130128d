#include "coordination/admission/admission.h"

#include <gtest/gtest.h>

#include <queue>
#include <random>

namespace wagtailshore::admission {
namespace {

constexpr common::Duration kObjective = common::milliseconds(400);

struct Outcome {
  double in_time = 0;
  double late = 0;
  double refused = 0;

  // Value to the callers: a late answer counts half.
  double value() const { return in_time + 0.5 * late; }
};

// Simulates a service with a fixed number of slots that serves requests in
// order, each for 1.5 s, and several gateways that see only their own requests.
// Returns shares of the requests that arrive after a warm-up of 10 s.
Outcome Simulate(double load, bool with_control) {
  constexpr int kGateways = 8;
  constexpr int kSlots = 96;
  constexpr int kServiceMs = 1500;
  constexpr int kStartMs = 170;
  constexpr int kCallerTimeoutMs = 2000;
  struct Request {
    int gateway;
    common::Time sent;
  };
  std::mt19937_64 random(11);
  std::uniform_real_distribution<double> chance(0, 1);
  std::vector<AdmissionControl> gateways(kGateways, AdmissionControl({}));
  std::deque<Request> queue;
  std::priority_queue<common::Time, std::vector<common::Time>, std::greater<>>
      running;
  struct Starting {
    common::Time at;
    Request request;
    bool operator<(const Starting& other) const { return at > other.at; }
  };
  std::priority_queue<Starting> starting;
  const double per_ms = load * kSlots / kServiceMs;
  Outcome outcome;
  double asked = 0;
  common::Time now{common::seconds(100)};
  const common::Time settled = now + common::seconds(10);
  const common::Time end = now + common::seconds(60);
  for (; now < end; now += common::milliseconds(1)) {
    const bool counts = now >= settled;
    if (chance(random) < per_ms) {
      const int gateway = static_cast<int>(random() % kGateways);
      asked += counts;
      if (with_control && !gateways[gateway].Admit(chance(random), now)) {
        outcome.refused += counts;
      } else {
        gateways[gateway].OnSent(now, kObjective);
        queue.push_back({gateway, now});
      }
    }
    while (!running.empty() && running.top() <= now) {
      running.pop();
    }
    while (!queue.empty() && running.size() < kSlots) {
      const Request request = queue.front();
      queue.pop_front();
      if (now - request.sent > common::milliseconds(kCallerTimeoutMs)) {
        gateways[request.gateway].OnEnded(request.sent, kObjective);
        continue;
      }
      running.push(now + common::milliseconds(kServiceMs));
      starting.push({now + common::milliseconds(kStartMs), request});
    }
    while (!starting.empty() && starting.top().at <= now) {
      const Request request = starting.top().request;
      starting.pop();
      gateways[request.gateway].OnStarted(request.sent, kObjective, now);
      const bool in_time = now - request.sent <= kObjective;
      (in_time ? outcome.in_time : outcome.late) += counts;
    }
  }
  outcome.in_time /= asked;
  outcome.late /= asked;
  outcome.refused /= asked;
  return outcome;
}

TEST(AdmissionTest, ServiceWithRoomTakesAll) {
  const Outcome outcome = Simulate(0.85, true);
  EXPECT_LT(outcome.refused, 0.01);
  EXPECT_GT(outcome.in_time, 0.97);
}

class OverloadTest : public testing::TestWithParam<double> {};

// Compared with a queue without admission control, where every request is late.
TEST_P(OverloadTest, CallersGetMoreThanFromAQueue) {
  const Outcome queue = Simulate(GetParam(), false);
  const Outcome control = Simulate(GetParam(), true);
  EXPECT_GT(control.value(), queue.value() + 0.1);
  EXPECT_LT(control.refused, 0.5);
}

INSTANTIATE_TEST_SUITE_P(Loads, OverloadTest, testing::Values(1.1, 1.25, 1.5));

// Slow endpoints make every start late, however few there are.
TEST(AdmissionTest, RefusingThatHelpsNobodyStops) {
  AdmissionControl control({});
  common::Time now{common::seconds(100)};
  int admitted = 0;
  constexpr int kAsked = 3000;
  for (int i = 0; i < kAsked; ++i) {
    control.OnStarted(now - common::seconds(1), kObjective, now);
    admitted += control.Admit(0.9, now) ? 1 : 0;
    now += common::milliseconds(10);
  }
  EXPECT_GT(admitted, kAsked / 2);
}

TEST(AdmissionTest, ShareComesBackWhenTheLoadIsGone) {
  AdmissionControl control({});
  common::Time now{common::seconds(100)};
  for (int i = 0; i < 100; ++i) {
    control.OnStarted(now - common::seconds(1), kObjective, now);
    control.Admit(0, now);
    now += common::milliseconds(20);
  }
  EXPECT_LT(control.share(), 0.8);
  for (int i = 0; i < 30; ++i) {
    now += common::milliseconds(200);
    control.Admit(0, now);
  }
  EXPECT_EQ(control.share(), 1);
}

}  // namespace
}  // namespace wagtailshore::admission
