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

// Identifies a request: the customer and its idempotency key.
struct CallKey {
  std::string customer;
  std::string key;

  bool operator<(const CallKey& other) const {
    return std::tie(customer, key) < std::tie(other.customer, other.key);
  }
};

// One submission of a request by its caller through one entry.
struct Submission {
  CallKey key;
  common::Time deadline;
  // Whether the entry was down or paused, so that no timely answer is required.
  bool answer_waived = false;
  // Whether the request had run before this submission.
  bool ran_before = false;
  // Whether the request ran because of this submission.
  bool ran = false;
  std::optional<AnswerKind> answer;
  common::Time answered_at{};
};

// Records the runs of requests and the answers to callers, and collects each
// violation of the at-most-once guarantee or of a deadline.
class CallLedger {
 public:
  // Returns the submission's index in submissions().
  size_t Submit(CallKey key, common::Time deadline);
  // Records that the service runs the call. Returns the body of its answer.
  std::string OnRun(size_t submission, common::Time now);
  void OnComplete(size_t submission, const std::string& body, common::Time now);
  void OnRefused(size_t submission,
                 const refusal::Refusal& refusal,
                 common::Time now);
  // No longer requires an answer to this submission.
  void WaiveAnswer(size_t submission) {
    submissions_[submission].answer_waived = true;
  }
  // Records a violation for every submission that still requires an answer.
  void CheckAllAnswered();

  int RunsOf(const CallKey& key) const;
  const std::vector<Submission>& submissions() const { return submissions_; }
  const std::vector<std::string>& violations() const { return violations_; }
  const std::map<CallKey, std::vector<std::string>>& runs() const {
    return runs_;
  }

 private:
  void Answer(size_t submission, AnswerKind kind, common::Time now);
  void AddViolation(size_t submission, const std::string& what);

  std::vector<Submission> submissions_;
  // The answer body of each run, by request.
  std::map<CallKey, std::vector<std::string>> runs_;
  std::vector<std::string> violations_;
};

}  // namespace wagtailshore::test_support

#endif  // SUPPORT_CALL_LEDGER_H_
