#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

#include "state/limits/fair_queue.h"
#include "state/limits/token_bucket.h"

namespace wagtailshore::limits {
namespace {

using common::milliseconds;
using common::seconds;

constexpr common::Time kStart{seconds(1000)};

TEST(TokenBucketTest, LetsTheRateThroughAndTellsWhenToComeBack) {
  TokenBucket bucket(seconds(2));
  bucket.SetRate(2, kStart);
  for (int i = 0; i < 4; ++i) {
    EXPECT_TRUE(bucket.TryTake(kStart));
  }
  EXPECT_FALSE(bucket.TryTake(kStart));
  EXPECT_EQ(bucket.UntilNext(kStart), milliseconds(500));
  EXPECT_TRUE(bucket.TryTake(kStart + milliseconds(500)));
  bucket.SetRate(0, kStart + milliseconds(500));
  EXPECT_EQ(bucket.UntilNext(kStart + milliseconds(500)), seconds(60));
}

// For requests at any times: the bucket admits no more than the rate and one
// burst.
RC_GTEST_PROP(TokenBucketProperty, NeverExceedsRateAndBurst, ()) {
  TokenBucket bucket(seconds(1));
  const auto rate = *rc::gen::inRange(1, 20);
  bucket.SetRate(rate, kStart);
  common::Time now = kStart;
  int passed = 0;
  for (const auto gap :
       *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 300))) {
    now += milliseconds(gap);
    passed += bucket.TryTake(now) ? 1 : 0;
    const double elapsed = std::chrono::duration<double>(now - kStart).count();
    RC_ASSERT(passed <= rate * (elapsed + 1) + 1e-6);
  }
}

// A customer that sends 100 requests while the others send one each is served
// as often as they are, and only its requests are refused.
TEST(FairQueueTest, TakesCustomersInTurn) {
  FairQueue queue(
      {.max_wait = seconds(5), .initial_interval = milliseconds(100)});
  uint64_t id = 0;
  int refused = 0;
  for (int i = 0; i < 100; ++i) {
    const auto outcome = queue.Enqueue(
        {.id = ++id, .customer = "loud", .deadline = kStart + seconds(60)},
        kStart);
    if (const auto* refusal = std::get_if<refusal::Refusal>(&outcome)) {
      ++refused;
      EXPECT_GE(refusal->retry_after, seconds(1));
      EXPECT_EQ(refusal->ran, refusal::Ran::kNotRun);
    }
  }
  EXPECT_EQ(refused, 49);
  for (const char* customer : {"a", "b"}) {
    const auto outcome = queue.Enqueue(
        {.id = ++id, .customer = customer, .deadline = kStart + seconds(60)},
        kStart);
    EXPECT_TRUE(std::holds_alternative<Queued>(outcome)) << customer;
  }
  std::map<std::string, int> first;
  for (int i = 0; i < 3; ++i) {
    ++first[queue.TakeFirst(kStart).customer];
  }
  EXPECT_EQ(first,
            (std::map<std::string, int>{{"a", 1}, {"b", 1}, {"loud", 1}}));
}

TEST(FairQueueTest, TakesHigherPrioritiesMoreOften) {
  FairQueue queue({.max_wait = seconds(60)});
  uint64_t id = 0;
  for (int i = 0; i < 20; ++i) {
    for (const auto priority :
         {manifest::Priority::kLow, manifest::Priority::kHigh}) {
      queue.Enqueue({.id = ++id,
                     .customer = std::string(
                         common::NameOf(manifest::kPriorityNames, priority)),
                     .priority = priority,
                     .deadline = kStart + seconds(60)},
                    kStart);
    }
  }
  std::map<std::string, int> first;
  constexpr int kTaken = 15;
  for (int i = 0; i < kTaken; ++i) {
    ++first[queue.TakeFirst(kStart).customer];
  }
  EXPECT_EQ(first["low"], 3);
  EXPECT_EQ(first["high"], 12);
}

// Every queued request leaves the queue exactly once: served, taken as late or
// removed.
RC_GTEST_PROP(FairQueueProperty, LosesAndDoublesNothing, ()) {
  FairQueue queue({.max_wait = seconds(2), .max_length = 20});
  std::set<uint64_t> inside;
  uint64_t id = 0;
  common::Time now = kStart;
  const int steps = *rc::gen::inRange(1, 200);
  for (int i = 0; i < steps; ++i) {
    now += milliseconds(*rc::gen::inRange(0, 50));
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
      case 1: {
        const auto outcome = queue.Enqueue(
            {.id = ++id,
             .customer = std::string(1, *rc::gen::element('a', 'b', 'c')),
             .priority = *rc::gen::element(manifest::Priority::kLow,
                                           manifest::Priority::kHigh),
             .deadline = now + milliseconds(*rc::gen::inRange(1, 500))},
            now);
        if (std::holds_alternative<Queued>(outcome)) {
          inside.insert(id);
        }
        break;
      }
      case 2: {
        const bool waits = queue.First() != nullptr;
        RC_ASSERT(waits == !inside.empty());
        if (waits) {
          const WaitingRequest first = queue.TakeFirst(now);
          RC_ASSERT(inside.contains(first.id));
          inside.erase(first.id);
        }
        break;
      }
      case 3: {
        const std::vector<WaitingRequest> taken = queue.TakePredictedLate(now);
        for (const WaitingRequest& late : taken) {
          RC_ASSERT(inside.contains(late.id));
          inside.erase(late.id);
        }
        const WaitingRequest* first = queue.First();
        const bool in_time = first == nullptr || first->deadline > now;
        RC_ASSERT(in_time);
        break;
      }
      default:
        if (!inside.empty()) {
          queue.Remove(*inside.begin());
          inside.erase(inside.begin());
        }
    }
    RC_ASSERT(queue.size() == inside.size());
  }
}

}  // namespace
}  // namespace wagtailshore::limits
