#ifndef COORDINATION_RETRY_BUDGET_RETRY_BUDGET_H_
#define COORDINATION_RETRY_BUDGET_RETRY_BUDGET_H_

// Bounds the work that retries add, so that failures cannot feed on themselves.
namespace wagtailshore::retry_budget {

struct RetryBudgetOptions {
  // Retries per success.
  double share = 0.05;
  // Retries that can be saved up.
  double reserve = 10;
};

// One entry's budget: each success adds a part of a retry, each retry takes a
// whole one. Attempts thus stay under 1 + share per request, but for the
// reserve. Resuming a stream that got ahead repeats no work and needs none.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options)
      : options_(options), retries_(options.reserve) {}

  void OnSuccess();
  // Whether a retry may be made; takes it from the budget if so.
  [[nodiscard]] bool TryTake();

  double retries() const { return retries_; }

 private:
  RetryBudgetOptions options_;
  double retries_;
};

}  // namespace wagtailshore::retry_budget

#endif  // COORDINATION_RETRY_BUDGET_RETRY_BUDGET_H_
