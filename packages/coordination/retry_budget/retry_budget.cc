#include "coordination/retry_budget/retry_budget.h"

#include <algorithm>

#include "common/invariant.h"

namespace wagtailshore::retry_budget {

void RetryBudget::OnSuccess() {
  retries_ =
      std::min(options_.reserve, retries_ + options_.retries_per_success);
}

bool RetryBudget::TryTake() {
  if (retries_ < 1) {
    return false;
  }
  retries_ -= 1;
  WS_INVARIANT(retries_ >= 0) << "retries stay within the budget";
  return true;
}

}  // namespace wagtailshore::retry_budget
