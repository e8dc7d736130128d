#include "support/fake_table.h"

#include <memory>
#include <utility>

namespace wagtailshore::test_support {

template <typename Outcome>
void FakeTable::Exchange(int domain,
                         common::Duration timeout,
                         std::function<Outcome()> apply,
                         const std::function<void(Outcome)>& done) {
  ++operations_;
  // Only the first of answer and timeout is delivered.
  auto pending = std::make_shared<std::function<void(Outcome)>>(done);
  const auto deliver = [pending](const Outcome& outcome) {
    if (*pending) {
      std::exchange(*pending, nullptr)(outcome);
    }
  };
  events_.After(timeout, [deliver] { deliver(table::Unavailable{}); });
  if (!faults_.StoreReachable(domain) ||
      faults_.Happens(faults_.rates().table_request_lost)) {
    return;
  }
  events_.After(faults_.StoreDelay(faults_.rates().table_request_delayed),
                [this, domain, apply = std::move(apply), deliver] {
                  if (!faults_.StoreReachable(domain)) {
                    return;
                  }
                  const Outcome outcome = apply();
                  const bool loss_requested =
                      std::is_same_v<Outcome, table::WriteOutcome> &&
                      TakeAnswerLoss();
                  if (loss_requested ||
                      faults_.Happens(faults_.rates().table_answer_lost)) {
                    return;
                  }
                  events_.After(faults_.StoreDelay(0),
                                [deliver, outcome] { deliver(outcome); });
                });
}

bool FakeTable::TakeAnswerLoss() {
  if (answers_to_skip_ > 0) {
    --answers_to_skip_;
    return false;
  }
  return answers_to_lose_ > 0 && answers_to_lose_-- > 0;
}

void FakeTable::Read(int domain,
                     const table::ReadRow& request,
                     common::Duration timeout,
                     const std::function<void(table::ReadOutcome)>& done) {
  Exchange<table::ReadOutcome>(
      domain, timeout,
      [this, key = request.key] { return table::RowRead{rows_[key]}; }, done);
}

void FakeTable::Write(int domain,
                      const table::WriteRow& request,
                      common::Duration timeout,
                      const std::function<void(table::WriteOutcome)>& done) {
  Exchange<table::WriteOutcome>(
      domain, timeout, [this, request] { return Apply(request); }, done);
}

table::WriteOutcome FakeTable::Apply(const table::WriteRow& request) {
  table::Row& row = rows_[request.key];
  if (row.version != request.expected_version) {
    return table::WriteConflict{row};
  }
  row = table::RowAfter(request);
  return table::RowWritten{row.version};
}

}  // namespace wagtailshore::test_support
