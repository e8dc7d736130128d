#include "support/call_ledger.h"

#include "common/strings.h"

namespace wagtailshore::test_support {

size_t CallLedger::Submit(CallKey key, common::Time deadline) {
  const bool ran_before = RunsOf(key) > 0;
  sendings_.push_back(
      {.key = std::move(key), .deadline = deadline, .ran_before = ran_before});
  return sendings_.size() - 1;
}

std::string CallLedger::OnRun(size_t sending, common::Time now) {
  Sending& run = sendings_[sending];
  std::vector<std::string>& answers = runs_[run.key];
  answers.push_back(common::StrCat(
      run.key.customer, " ", run.key.key, " run ", answers.size() + 1, " at ",
      common::ToMilliseconds(now.time_since_epoch())));
  run.ran = true;
  if (answers.size() > 1) {
    Violate(sending, "the request ran more than once");
  }
  if (run.answer == AnswerKind::kNotRun) {
    Violate(sending, "a sending refused as not run ran later");
  }
  return answers.back();
}

void CallLedger::OnComplete(size_t sending,
                            const std::string& body,
                            common::Time now) {
  Answer(sending, AnswerKind::kComplete, now);
  const auto runs = runs_.find(sendings_[sending].key);
  if (runs == runs_.end() || runs->second.front() != body) {
    Violate(sending, "the answer is not the one that the run gave: " + body);
  }
}

void CallLedger::OnRefused(size_t sending,
                           const refusal::Refusal& refusal,
                           common::Time now) {
  if (refusal.ran == refusal::Ran::kUnknown) {
    Answer(sending, AnswerKind::kUnknown, now);
    return;
  }
  Answer(sending, AnswerKind::kNotRun, now);
  if (sendings_[sending].ran) {
    Violate(sending, "a sending that ran was refused as not run");
  }
  // Only without the table may an entry not know of the key's other sendings.
  if (refusal.code != refusal::Code::kStoreUnavailable &&
      sendings_[sending].ran_before) {
    Violate(sending, "a request that ran was refused as not run");
  }
}

void CallLedger::Answer(size_t sending, AnswerKind kind, common::Time now) {
  Sending& answered = sendings_[sending];
  if (answered.answer.has_value()) {
    Violate(sending, "answered twice");
  }
  answered.answer = kind;
  answered.answered_at = now;
  if (now > answered.deadline && !answered.excused) {
    Violate(sending, "answered after its deadline");
  }
}

void CallLedger::CheckAllAnswered() {
  for (size_t i = 0; i < sendings_.size(); ++i) {
    if (!sendings_[i].answer.has_value() && !sendings_[i].excused) {
      Violate(i, "never answered");
    }
  }
}

int CallLedger::RunsOf(const CallKey& key) const {
  const auto found = runs_.find(key);
  return found == runs_.end() ? 0 : static_cast<int>(found->second.size());
}

void CallLedger::Violate(size_t sending, const std::string& what) {
  violations_.push_back(common::StrCat("sending ", sending, " of ",
                                       sendings_[sending].key.customer, " ",
                                       sendings_[sending].key.key, ": ", what));
}

}  // namespace wagtailshore::test_support
