#include "coordination/backpressure/backpressure.h"

#include <gtest/gtest.h>

namespace wagtailshore::backpressure {
namespace {

using common::milliseconds;
using common::seconds;

constexpr common::Time kStart{seconds(1000)};

class BackpressureTest : public testing::Test {
 protected:
  void AskForRest(common::Duration rest,
                  common::Time now,
                  double spread = 0,
                  const std::string& process = "e/1") {
    backpressure_.OnAnswer("e", process, {.rest = rest}, spread, now, now);
  }
  bool IsBlocked(common::Time now) {
    return backpressure_.Blocked(Backpressure::Share{}, now).contains("e");
  }

  Backpressure backpressure_{{}};
};

TEST_F(BackpressureTest, ShorterRestDoesNotEndALongerOne) {
  AskForRest(seconds(3), kStart);
  AskForRest(milliseconds(500), kStart + seconds(1));
  EXPECT_TRUE(IsBlocked(kStart + milliseconds(2999)));
  EXPECT_FALSE(IsBlocked(kStart + seconds(3)));
}

TEST_F(BackpressureTest, LongerRestExtendsAShorterOne) {
  AskForRest(milliseconds(500), kStart);
  AskForRest(seconds(3), kStart + milliseconds(100));
  EXPECT_TRUE(IsBlocked(kStart + seconds(3)));
}

TEST_F(BackpressureTest, OtherAnswersDoNotEndARest) {
  AskForRest(seconds(3), kStart);
  backpressure_.OnAnswer("e", "e/1", {.may_end_limit = true}, 0,
                         kStart + seconds(1), kStart + seconds(2));
  EXPECT_TRUE(IsBlocked(kStart + seconds(2)));
}

TEST_F(BackpressureTest, EntryThatComesBackDoesNotEndARest) {
  AskForRest(seconds(3), kStart);
  backpressure_.OnUnlisted("e");
  backpressure_.OnListed("e", "e/1");
  EXPECT_TRUE(IsBlocked(kStart + seconds(2)));
}

TEST_F(BackpressureTest, NewProcessDoesNotRest) {
  AskForRest(seconds(3), kStart);
  backpressure_.OnListed("e", "e/2");
  EXPECT_FALSE(IsBlocked(kStart + seconds(1)));
}

TEST_F(BackpressureTest, GatewaysReturnWithinATenthOfTheRest) {
  AskForRest(seconds(10), kStart, 1);
  EXPECT_TRUE(IsBlocked(kStart + milliseconds(10999)));
  EXPECT_FALSE(IsBlocked(kStart + seconds(11)));
}

TEST_F(BackpressureTest, TimeUntilFreeIsTheLongerOfRestAndPermit) {
  const Backpressure::Share share;
  EXPECT_EQ(backpressure_.TimeUntilFree("e", share, kStart),
            common::Duration::zero());
  AskForRest(seconds(3), kStart);
  EXPECT_EQ(backpressure_.TimeUntilFree("e", share, kStart + seconds(1)),
            seconds(2));
  backpressure_.OnAnswer("e", "e/1", {.request_limit = 0.25}, 0, kStart,
                         kStart + seconds(1));
  EXPECT_GE(*backpressure_.TimeUntilFree("e", share, kStart + seconds(1)),
            seconds(2));
  EXPECT_EQ(backpressure_.TimeUntilFree("e", std::nullopt, kStart),
            std::nullopt);
  EXPECT_EQ(backpressure_.TimeUntilFree("other", std::nullopt, kStart),
            common::Duration::zero());
}

}  // namespace
}  // namespace wagtailshore::backpressure
