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

// The platform's table on a virtual clock: requests and answers take time and
// may be lost; a request may take effect after its sender gave up waiting.
class FakeTable {
 public:
  FakeTable(EventQueue& events, FaultPlan& faults)
      : events_(events), faults_(faults) {}

  // `done` is called once, within `timeout`.
  void Read(int domain,
            const table::ReadRow& request,
            common::Duration timeout,
            const std::function<void(table::ReadOutcome)>& done);
  void Write(int domain,
             const table::WriteRow& request,
             common::Duration timeout,
             const std::function<void(table::WriteOutcome)>& done);

  // After `skip` more writes, `count` take effect and their answers are lost.
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
  // Whether the answer to the write that took effect now is to be lost.
  bool LosesAnswer();

  EventQueue& events_;
  FaultPlan& faults_;
  std::map<std::string, table::Row> rows_;
  int answers_to_skip_ = 0;
  int answers_to_lose_ = 0;
  uint64_t operations_ = 0;
};

}  // namespace wagtailshore::test_support

#endif  // SUPPORT_FAKE_TABLE_H_
