#include "coordination/freshness/freshness.h"

#include <gtest/gtest.h>

#include <vector>

namespace wagtailshore::freshness {
namespace {

using common::milliseconds;

constexpr FreshnessOptions kOptions = {.revocation_bound = milliseconds(5000),
                                       .safety_margin = milliseconds(400)};
const common::Time kStart{common::seconds(100)};

TEST(FreshnessTest, NothingIsTrustedBeforeTheFirstConfirmation) {
  const Freshness freshness(kOptions);
  EXPECT_FALSE(freshness.MayTrustKeys(kStart));
  EXPECT_FALSE(freshness.Age(kStart).has_value());
}

TEST(FreshnessTest, TrustEndsBeforeTheBound) {
  Freshness freshness(kOptions);
  freshness.OnConfirmed(kStart);
  EXPECT_TRUE(freshness.MayTrustKeys(kStart + milliseconds(4599)));
  EXPECT_FALSE(freshness.MayTrustKeys(kStart + milliseconds(4600)));
}

// Answers may arrive out of order; an older one does not raise the age.
TEST(FreshnessTest, LateAnswerToAnEarlierQuestionChangesNothing) {
  Freshness freshness(kOptions);
  freshness.OnConfirmed(kStart + milliseconds(1000));
  freshness.OnConfirmed(kStart);
  EXPECT_EQ(freshness.Age(kStart + milliseconds(1500)), milliseconds(500));
}

struct StoreAnswer {
  int asked_ms;
  // When the store produced the answer, by this process's clock.
  int answered_ms;
  int received_ms;
};

struct ClockCase {
  const char* name;
  std::vector<StoreAnswer> answers;
  // Expected result for the last answer.
  int earliest_answer_ms;
};

class StoreClockTest : public testing::TestWithParam<ClockCase> {};

// The store's clock has another origin than this process's.
TEST_P(StoreClockTest, NoAnswerIsTakenForYounger) {
  StoreClock clock;
  common::Time earliest_answer;
  for (const StoreAnswer& answer : GetParam().answers) {
    earliest_answer =
        clock.EarliestAnswerTime(kStart + milliseconds(answer.asked_ms),
                                 kStart + milliseconds(answer.received_ms),
                                 milliseconds(5000 + answer.answered_ms));
    EXPECT_LE(earliest_answer, kStart + milliseconds(answer.answered_ms));
  }
  EXPECT_EQ(earliest_answer,
            kStart + milliseconds(GetParam().earliest_answer_ms));
}

INSTANTIATE_TEST_SUITE_P(
    Answers,
    StoreClockTest,
    testing::Values(
        ClockCase{"FirstCall", {{0, 2, 4}}, 0},
        ClockCase{"WaitThatLasted", {{0, 2, 4}, {10, 2410, 2412}}, 2408},
        // Found by the soak test (seed 44): the answer was produced at once but
        // arrived later than the end of a full long poll.
        ClockCase{"AnsweredEarlyCameLate", {{0, 2, 4}, {10, 110, 2600}}, 108},
        ClockCase{"ReadAfterAPause", {{0, 2, 4}, {10, 2410, 9000}}, 2408}),
    [](const auto& info) { return std::string(info.param.name); });

// The bounds that answers with a time have set stay valid for later ones.
TEST(StoreClockTest, AnswerWithoutATimeIsAsOldAsItsCall) {
  StoreClock clock;
  clock.EarliestAnswerTime(kStart, kStart + milliseconds(4),
                           milliseconds(5002));
  const common::Time asked = kStart + milliseconds(10);
  EXPECT_EQ(
      clock.EarliestAnswerTime(asked, asked + milliseconds(2400), std::nullopt),
      asked);
  EXPECT_EQ(clock.EarliestAnswerTime(asked, asked + milliseconds(2402),
                                     milliseconds(7410)),
            kStart + milliseconds(2408));
}

// A replacement store may have a clock with another origin.
TEST(StoreClockTest, JumpOfTheStoresClockMakesNoAnswerYounger) {
  StoreClock clock;
  clock.EarliestAnswerTime(kStart, kStart + milliseconds(4),
                           milliseconds(1000));
  const common::Time asked = kStart + milliseconds(100);
  EXPECT_EQ(clock.EarliestAnswerTime(asked, asked + milliseconds(4),
                                     milliseconds(900000)),
            asked);
  EXPECT_EQ(clock.EarliestAnswerTime(asked + milliseconds(10),
                                     asked + milliseconds(14), milliseconds(7)),
            asked + milliseconds(10));
}

}  // namespace
}  // namespace wagtailshore::freshness
