#include "coordination/freshness/freshness.h"

#include <gtest/gtest.h>

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

// Answers may overtake each other; an old one takes nothing back.
TEST(FreshnessTest, LateAnswerToAnEarlierQuestionChangesNothing) {
  Freshness freshness(kOptions);
  freshness.OnConfirmed(kStart + milliseconds(1000));
  freshness.OnConfirmed(kStart);
  EXPECT_EQ(freshness.Age(kStart + milliseconds(1500)), milliseconds(500));
}

}  // namespace
}  // namespace wagtailshore::freshness
