#include "support/call_ledger.h"

#include "common/strings.h"

namespace wagtailshore::test_support {

size_t CallLedger::Submit(CallKey key, common::Time deadline) {
  const bool ran_before = RunsOf(key) > 0;
  submissions_.push_back(
      {.key = std::move(key), .deadline = deadline, .ran_before = ran_before});
  return submissions_.size() - 1;
}

std::string CallLedger::OnRun(size_t submission, common::Time now) {
  Submission& run = submissions_[submission];
  std::vector<std::string>& answers = runs_[run.key];
  answers.push_back(common::StrCat(
      run.key.customer, " ", run.key.key, " run ", answers.size() + 1, " at ",
      common::ToMilliseconds(now.time_since_epoch())));
  run.ran = true;
  if (answers.size() > 1) {
    AddViolation(submission, "the request ran more than once");
  }
  if (run.answer == AnswerKind::kNotRun) {
    AddViolation(submission, "a submission refused as not run ran later");
  }
  return answers.back();
}

void CallLedger::OnComplete(size_t submission,
                            const std::string& body,
                            common::Time now) {
  Answer(submission, AnswerKind::kComplete, now);
  const auto runs = runs_.find(submissions_[submission].key);
  if (runs == runs_.end() || runs->second.front() != body) {
    AddViolation(submission,
                 "the answer differs from the result of the run: " + body);
  }
}

void CallLedger::OnRefused(size_t submission,
                           const refusal::Refusal& refusal,
                           common::Time now) {
  if (refusal.ran == refusal::Ran::kUnknown) {
    Answer(submission, AnswerKind::kUnknown, now);
    return;
  }
  Answer(submission, AnswerKind::kNotRun, now);
  if (submissions_[submission].ran) {
    AddViolation(submission, "a submission that ran was refused as not run");
  }
  // An entry may be unaware of earlier submissions of the key only while the
  // table is unavailable.
  if (refusal.code != refusal::Code::kStoreUnavailable &&
      submissions_[submission].ran_before) {
    AddViolation(submission, "a request that ran was refused as not run");
  }
}

void CallLedger::Answer(size_t submission, AnswerKind kind, common::Time now) {
  Submission& answered = submissions_[submission];
  if (answered.answer.has_value()) {
    AddViolation(submission, "answered twice");
  }
  answered.answer = kind;
  answered.answered_at = now;
  if (now > answered.deadline && !answered.answer_waived) {
    AddViolation(submission, "answered after its deadline");
  }
}

void CallLedger::CheckAllAnswered() {
  for (size_t i = 0; i < submissions_.size(); ++i) {
    if (!submissions_[i].answer.has_value() && !submissions_[i].answer_waived) {
      AddViolation(i, "never answered");
    }
  }
}

int CallLedger::RunsOf(const CallKey& key) const {
  const auto found = runs_.find(key);
  return found == runs_.end() ? 0 : static_cast<int>(found->second.size());
}

void CallLedger::AddViolation(size_t submission, const std::string& what) {
  violations_.push_back(common::StrCat(
      "submission ", submission, " of ", submissions_[submission].key.customer,
      " ", submissions_[submission].key.key, ": ", what));
}

}  // namespace wagtailshore::test_support
