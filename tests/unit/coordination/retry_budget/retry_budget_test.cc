#include "coordination/retry_budget/retry_budget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wagtailshore::retry_budget {
namespace {

// In any sequence of successes and retries, the number of retries never exceeds
// the reserve plus the given fraction of the successes so far.
RC_GTEST_PROP(RetryBudgetProperty, StaysWithinShareAndReserve, ()) {
  constexpr RetryBudgetOptions kOptions;
  RetryBudget budget(kOptions);
  int successes = 0;
  int retries = 0;
  for (const bool success : *rc::gen::container<std::vector<bool>>(
           500, rc::gen::arbitrary<bool>())) {
    if (success) {
      budget.OnSuccess();
      ++successes;
    } else {
      retries += budget.TryTake() ? 1 : 0;
    }
    RC_ASSERT(retries <= kOptions.reserve +
                             kOptions.retries_per_success * successes + 1e-6);
  }
}

TEST(RetryBudgetTest, SavesUpNoMoreThanTheReserve) {
  RetryBudget budget({.retries_per_success = 0.5, .reserve = 2});
  for (int i = 0; i < 100; ++i) {
    budget.OnSuccess();
  }
  EXPECT_TRUE(budget.TryTake());
  EXPECT_TRUE(budget.TryTake());
  EXPECT_FALSE(budget.TryTake());
  budget.OnSuccess();
  budget.OnSuccess();
  EXPECT_TRUE(budget.TryTake());
}

}  // namespace
}  // namespace wagtailshore::retry_budget
