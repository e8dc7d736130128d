#ifndef SUPPORT_CALL_LEDGER_H_
#define SUPPORT_CALL_LEDGER_H_

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "common/time.h"
#include "state/refusal/refusal.h"

namespace wagtailshore::test_support {

enum class AnswerKind { kComplete, kNotRun, kUnknown };

inline constexpr common::EnumNames<AnswerKind, 3> kAnswerKindNames = {{
    {AnswerKind::kComplete, "complete"},
    {AnswerKind::kNotRun, "not_run"},
    {AnswerKind::kUnknown, "unknown"},
}};

// A request's identity for its caller.
struct CallKey {
  std::string customer;
  std::string key;

  bool operator<(const CallKey& other) const {
    return std::tie(customer, key) < std::tie(other.customer, other.key);
  }
};

// One sending of a request by its caller through one entry.
struct Sending {
  CallKey key;
  common::Time deadline;
  // Whether the entry died or slept, so that no timely answer is owed.
  bool excused = false;
  // Whether the request had run before its caller sent it this time.
  bool ran_before = false;
  // Whether this sending made it run.
  bool ran = false;
  std::optional<AnswerKind> answer;
  common::Time answered_at{};
};

// Counts what ran and what callers were told, and notes each broken promise.
class CallLedger {
 public:
  // Returns the sending's number.
  size_t Submit(CallKey key, common::Time deadline);
  // The service runs the call for a sending; returns its answer's body.
  std::string OnRun(size_t sending, common::Time now);
  void OnComplete(size_t sending, const std::string& body, common::Time now);
  void OnRefused(size_t sending,
                 const refusal::Refusal& refusal,
                 common::Time now);
  // Nothing is owed to this sending any more.
  void Excuse(size_t sending) { sendings_[sending].excused = true; }
  // Notes every sending that should have been answered and was not.
  void CheckAllAnswered();

  int RunsOf(const CallKey& key) const;
  const std::vector<Sending>& sendings() const { return sendings_; }
  const std::vector<std::string>& violations() const { return violations_; }
  const std::map<CallKey, std::vector<std::string>>& runs() const {
    return runs_;
  }

 private:
  void Answer(size_t sending, AnswerKind kind, common::Time now);
  void Violate(size_t sending, const std::string& what);

  std::vector<Sending> sendings_;
  // The answers that the runs of each request gave.
  std::map<CallKey, std::vector<std::string>> runs_;
  std::vector<std::string> violations_;
};

}  // namespace wagtailshore::test_support

#endif  // SUPPORT_CALL_LEDGER_H_
