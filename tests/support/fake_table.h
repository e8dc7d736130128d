#ifndef SUPPORT_FAKE_TABLE_H_
#define SUPPORT_FAKE_TABLE_H_

#include <functional>
#include <map>
#include <string>
#include <type_traits>

#include "state/table/table.h"
#include "support/event_queue.h"
#include "support/fault_plan.h"

namespace wagtailshore::test_support {

// A fake of the platform's table on a virtual clock. Requests and answers are
// delayed and may be lost. A request may take effect after its timeout.
class FakeTable {
 public:
  FakeTable(EventQueue& events, FaultPlan& faults)
      : events_(events), faults_(faults) {}

  // Call `done` exactly once, within `timeout`; with table::Unavailable when no
  // answer arrives in time. `domain` is the failure domain of the client.
  void Read(int domain,
            const table::ReadRow& request,
            common::Duration timeout,
            const std::function<void(table::ReadOutcome)>& done);
  void Write(int domain,
             const table::WriteRow& request,
             common::Duration timeout,
             const std::function<void(table::WriteOutcome)>& done);

  // Loses the answers to `count` writes after the next `skip` writes. The
  // writes take effect.
  void LoseAnswers(int skip, int count) {
    answers_to_skip_ = skip;
    answers_to_lose_ = count;
  }
  uint64_t operations() const { return operations_; }

 private:
  template <typename Outcome>
  void Exchange(int domain,
                common::Duration timeout,
                std::function<Outcome()> apply,
                const std::function<void(Outcome)>& done);
  table::WriteOutcome Apply(const table::WriteRow& request);
  // Counts down the losses set by LoseAnswers. Returns whether to lose the
  // answer to the current write.
  bool TakeAnswerLoss();

  EventQueue& events_;
  FaultPlan& faults_;
  std::map<std::string, table::Row> rows_;
  int answers_to_skip_ = 0;
  int answers_to_lose_ = 0;
  uint64_t operations_ = 0;
};

}  // namespace wagtailshore::test_support

#endif  // SUPPORT_FAKE_TABLE_H_
