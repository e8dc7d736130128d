#include "coordination/retry_budget/retry_budget.h"

#include <algorithm>

#include "common/invariant.h"

namespace wagtailshore::retry_budget {

void RetryBudget::OnSuccess() {
  retries_ = std::min(options_.reserve, retries_ + options_.share);
}

bool RetryBudget::TryTake() {
  if (retries_ < 1) {
    return false;
  }
  retries_ -= 1;
  WS_INVARIANT(retries_ >= 0) << "no more retries than the budget holds";
  return true;
}

}  // namespace wagtailshore::retry_budget
