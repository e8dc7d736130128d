#include "support/call_scenario.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_join.h"
#include "common/strings.h"

namespace wagtailshore::test_support {
namespace {

using scenario::Command;

constexpr common::Duration kDefaultTimeout = common::seconds(5);

absl::Status Bad(const std::string& message) {
  return absl::InvalidArgumentError(message);
}

std::string Option(const Command& command,
                   const std::string& name,
                   const std::string& otherwise) {
  const auto found = command.options.find(name);
  return found == command.options.end() ? otherwise : found->second;
}

// Returns an integer option, or -1 when it cannot be parsed.
int NumberOption(const Command& command,
                 const std::string& name,
                 int otherwise) {
  int number = 0;
  return absl::SimpleAtoi(Option(command, name, std::to_string(otherwise)),
                          &number)
             ? number
             : -1;
}

// Returns a duration option, or nullopt when it is missing or cannot be parsed.
std::optional<common::Duration> TimeOption(const Command& command,
                                           const std::string& name) {
  const auto time = scenario::ParseDuration(Option(command, name, ""));
  return time.ok() ? std::optional(*time) : std::nullopt;
}

std::string Word(const Command& command, size_t index) {
  return index < command.words.size() ? command.words[index] : "";
}

// Parses "KIND-NUMBER". Returns the number, or -1 when the kind differs or the
// number is not below `below`.
int NumberOf(const std::string& name, const std::string& kind, int below) {
  int number = 0;
  const std::string prefix = kind + "-";
  const bool read = name.starts_with(prefix) &&
                    absl::SimpleAtoi(name.substr(prefix.size()), &number);
  return read && number >= 0 && number < below ? number : -1;
}

CallKey KeyOf(const Command& command) {
  return {.customer = Option(command, "customer", "office"),
          .key = Option(command, "key", "key")};
}

}  // namespace

const std::map<std::string, CallScenario::Verb>& CallScenario::Verbs() {
  static const std::map<std::string, Verb> verbs = {
      {"world", &CallScenario::MakeWorld},
      {"submit", &CallScenario::Submit},
      {"kill", &CallScenario::Kill},
      {"restart", &CallScenario::Restart},
      {"pause", &CallScenario::Pause},
      {"resume", &CallScenario::Resume},
      {"drain", &CallScenario::Drain},
      {"lose_answer", &CallScenario::LoseAnswer},
      {"delay_message", &CallScenario::DelayMessage},
      {"double_message", &CallScenario::DoubleMessage},
      {"service_time", &CallScenario::ServiceTime},
      {"store_down", &CallScenario::StoreDown},
      {"store_up", &CallScenario::StoreUp},
      {"store_slow", &CallScenario::StoreSlow},
      {"cut", &CallScenario::Cut},
      {"heal", &CallScenario::Heal},
      {"expect", &CallScenario::Expect},
  };
  return verbs;
}

void CallScenario::AdvanceTo(common::Duration at) {
  if (world_ != nullptr) {
    world_->events().RunUntil(common::Time(at));
  }
}

absl::Status CallScenario::Do(const Command& command) {
  const auto verb = Verbs().find(command.verb);
  if (verb == Verbs().end()) {
    return Bad("unknown verb " + command.verb);
  }
  if (world_ == nullptr && command.verb != "world") {
    return Bad("\"world\" must be the first command");
  }
  return (this->*verb->second)(command);
}

absl::Status CallScenario::Finish() {
  if (world_ == nullptr) {
    return Bad("the scenario has no command");
  }
  constexpr common::Duration kSettle = common::seconds(60);
  world_->events().RunUntil(world_->events().now() + kSettle);
  world_->ledger().CheckAllAnswered();
  const auto& violations = world_->ledger().violations();
  return violations.empty()
             ? absl::OkStatus()
             : absl::InternalError(absl::StrJoin(violations, "; "));
}

absl::Status CallScenario::MakeWorld(const Command& command) {
  const CallWorldOptions options{
      .domains = NumberOption(command, "domains", 3),
      .entries = NumberOption(command, "entries", 3),
      .endpoints = NumberOption(command, "endpoints", 3),
      .max_attempts =
          static_cast<uint32_t>(NumberOption(command, "attempts", 3))};
  if (world_ != nullptr || options.domains < 1 || options.entries < 1 ||
      options.endpoints < 1) {
    return Bad("world: created twice, or an option is below 1");
  }
  world_ = make_(options);
  return absl::OkStatus();
}

absl::Status CallScenario::Submit(const Command& command) {
  const std::string name = Word(command, 0);
  const int entry =
      NumberOf(Option(command, "entry", "entry-0"), "entry", world_->entries());
  if (name.empty() || submissions_.contains(name) || entry < 0) {
    return Bad("submit: needs a new name and a known entry");
  }
  const common::Duration timeout =
      TimeOption(command, "timeout").value_or(kDefaultTimeout);
  submissions_[name] = world_->Submit(entry, KeyOf(command), timeout);
  return absl::OkStatus();
}

absl::Status CallScenario::Kill(const Command& command) {
  const int entry = NumberOf(Word(command, 0), "entry", world_->entries());
  const int endpoint =
      NumberOf(Word(command, 0), "endpoint", world_->endpoints());
  if (entry >= 0) {
    world_->KillEntry(entry);
  } else if (endpoint >= 0) {
    world_->KillEndpoint(endpoint);
  } else {
    return Bad("kill: no such process");
  }
  return absl::OkStatus();
}

absl::Status CallScenario::Restart(const Command& command) {
  const int entry = NumberOf(Word(command, 0), "entry", world_->entries());
  const int endpoint =
      NumberOf(Word(command, 0), "endpoint", world_->endpoints());
  if (entry >= 0) {
    world_->RestartEntry(entry);
  } else if (endpoint >= 0) {
    world_->RestartEndpoint(endpoint);
  } else {
    return Bad("restart: no such process");
  }
  return absl::OkStatus();
}

absl::Status CallScenario::Pause(const Command& command) {
  constexpr common::Duration kUntilResumed = std::chrono::hours(24);
  const common::Duration time =
      TimeOption(command, "for").value_or(kUntilResumed);
  const int entry = NumberOf(Word(command, 0), "entry", world_->entries());
  const int endpoint =
      NumberOf(Word(command, 0), "endpoint", world_->endpoints());
  if (entry >= 0) {
    world_->PauseEntry(entry, time);
  } else if (endpoint >= 0) {
    world_->PauseEndpoint(endpoint, time);
  } else {
    return Bad("pause: no such process");
  }
  return absl::OkStatus();
}

absl::Status CallScenario::Resume(const Command& command) {
  const int endpoint =
      NumberOf(Word(command, 0), "endpoint", world_->endpoints());
  if (endpoint < 0) {
    return Bad("resume: no such endpoint");
  }
  world_->ResumeEndpoint(endpoint);
  return absl::OkStatus();
}

absl::Status CallScenario::Drain(const Command& command) {
  const int endpoint =
      NumberOf(Word(command, 0), "endpoint", world_->endpoints());
  if (endpoint < 0) {
    return Bad("drain: no such endpoint");
  }
  world_->SetDraining(endpoint, true);
  return absl::OkStatus();
}

absl::Status CallScenario::LoseAnswer(const Command& command) {
  const int count = NumberOption(command, "count", 1);
  if (Word(command, 0) == "table" && count > 0) {
    world_->table().LoseAnswers(NumberOption(command, "skip", 0), count);
  } else if (Word(command, 0) == "service" && count > 0) {
    world_->LoseServiceAnswers(count);
  } else {
    return Bad("lose_answer: needs \"table\" or \"service\"");
  }
  return absl::OkStatus();
}

absl::Status CallScenario::DelayMessage(const Command& command) {
  const auto time = TimeOption(command, "by");
  if (!time.has_value()) {
    return Bad("delay_message: needs by=TIME");
  }
  world_->DelayNextMessage(*time);
  return absl::OkStatus();
}

absl::Status CallScenario::DoubleMessage(const Command& command) {
  const auto time = TimeOption(command, "after");
  if (!time.has_value()) {
    return Bad("double_message: needs after=TIME");
  }
  world_->DuplicateNextMessage(*time);
  return absl::OkStatus();
}

absl::Status CallScenario::ServiceTime(const Command& command) {
  const auto time = scenario::ParseDuration(Word(command, 0));
  if (!time.ok()) {
    return time.status();
  }
  world_->set_service_time(*time);
  return absl::OkStatus();
}

absl::Status CallScenario::StoreDown(const Command&) {
  world_->faults().set_store_down(true);
  return absl::OkStatus();
}

absl::Status CallScenario::StoreUp(const Command&) {
  world_->faults().set_store_down(false);
  world_->faults().set_store_delay({});
  return absl::OkStatus();
}

absl::Status CallScenario::StoreSlow(const Command& command) {
  const auto time = TimeOption(command, "by");
  if (!time.has_value()) {
    return Bad("store_slow: needs by=TIME");
  }
  world_->faults().set_store_delay(*time);
  return absl::OkStatus();
}

absl::Status CallScenario::Cut(const Command& command) {
  int sides[2];
  for (size_t i = 0; i < 2; ++i) {
    const std::string name = Word(command, i);
    sides[i] = NumberOf(name, "domain", world_->domains());
    if (sides[i] < 0 && name != "platform") {
      return Bad("cut: needs two of domain-N and platform");
    }
  }
  world_->faults().Cut(sides[0], sides[1]);
  return absl::OkStatus();
}

absl::Status CallScenario::Heal(const Command&) {
  world_->faults().Heal();
  return absl::OkStatus();
}

absl::Status CallScenario::Expect(const Command& command) {
  if (command.options.contains("runs")) {
    return ExpectRuns(command);
  }
  if (command.options.contains("answer")) {
    return ExpectAnswer(command);
  }
  return Bad("expect: needs runs= or answer=");
}

absl::Status CallScenario::ExpectRuns(const Command& command) {
  const int runs = world_->ledger().RunsOf(KeyOf(command));
  return runs == NumberOption(command, "runs", 0)
             ? absl::OkStatus()
             : Bad(common::StrCat("the request ran ", runs, " times"));
}

absl::Status CallScenario::ExpectAnswer(const Command& command) {
  const auto submission = submissions_.find(Word(command, 0));
  if (submission == submissions_.end()) {
    return Bad("expect: no submission of this name");
  }
  const auto& answer =
      world_->ledger().submissions()[submission->second].answer;
  const std::string_view seen =
      answer.has_value() ? common::NameOf(kAnswerKindNames, *answer) : "none";
  return seen == Option(command, "answer", "")
             ? absl::OkStatus()
             : Bad(common::StrCat("the answer is ", seen));
}

}  // namespace wagtailshore::test_support
