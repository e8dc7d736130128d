#ifndef COORDINATION_RETRY_BUDGET_RETRY_BUDGET_H_
#define COORDINATION_RETRY_BUDGET_RETRY_BUDGET_H_

// Bounds the work that retries add, so that failures cannot cause an overload
// that causes further failures.
namespace wagtailshore::retry_budget {

struct RetryBudgetOptions {
  // Retries earned by each success.
  double retries_per_success = 0.05;
  // Most retries that can accumulate; also the initial number.
  double reserve = 10;
};

// One entry's budget: each success adds a fraction of a retry, each retry uses
// a whole one. So the attempts per request stay below 1 + retries_per_success,
// apart from the reserve. Resuming a stream that made progress repeats no work
// and uses no budget.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options)
      : options_(options), retries_(options.reserve) {}

  void OnSuccess();
  // Whether a retry may be made; if so, deducts it from the budget.
  [[nodiscard]] bool TryTake();

  double retries() const { return retries_; }

 private:
  RetryBudgetOptions options_;
  double retries_;
};

}  // namespace wagtailshore::retry_budget

#endif  // COORDINATION_RETRY_BUDGET_RETRY_BUDGET_H_
