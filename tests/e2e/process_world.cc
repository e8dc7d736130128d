#include "e2e/process_world.h"

#include <signal.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "absl/strings/numbers.h"
#include "common/strings.h"
#include "standins/answer_text.h"
#include "transport/http_client/http_client.h"

namespace wagtailshore::e2e {
namespace {

using Json = nlohmann::json;
using scenario::Command;

constexpr common::Duration kAnswerTimeout = common::seconds(40);
constexpr common::Duration kExitTimeout = common::seconds(20);
constexpr common::Duration kVersionTimeout = common::seconds(20);
constexpr common::Duration kPollPeriod = common::milliseconds(50);

std::string Option(const Command& command,
                   const std::string& name,
                   const std::string& otherwise = "") {
  const auto found = command.options.find(name);
  return found == command.options.end() ? otherwise : found->second;
}

int64_t Number(const Command& command, const std::string& name) {
  int64_t number = 0;
  (void)absl::SimpleAtoi(Option(command, name), &number);
  return number;
}

std::string Word(const Command& command, size_t index) {
  return index < command.words.size() ? command.words[index] : std::string();
}

absl::Status Failed(const std::string& message) {
  return absl::FailedPreconditionError(message);
}

absl::StatusOr<Json> GetJson(const std::string& url) {
  const auto outcome = http_client::Call({.url = url}, common::seconds(2));
  const auto* reply = std::get_if<http_client::Reply>(&outcome);
  if (reply == nullptr) {
    return absl::UnavailableError("no HTTP response from " + url);
  }
  Json json = Json::parse(reply->body, nullptr, /*allow_exceptions=*/false);
  if (json.is_discarded()) {
    return absl::DataLossError("response is not JSON, from " + url);
  }
  return json;
}

std::string Describe(const CallerAnswer& answer) {
  return common::StrCat("status=", answer.status, " complete=", answer.complete,
                        " code=", answer.code, " ran=", answer.ran,
                        " text=", answer.text);
}

}  // namespace

ProcessWorld::ProcessWorld() : start_(common::Clock::now()) {}

void ProcessWorld::AdvanceTo(common::Duration at) {
  std::this_thread::sleep_until(start_ + at);
}

absl::Status ProcessWorld::Do(const Command& command) {
  static const std::map<std::string, Verb> verbs = {
      {"deploy", &ProcessWorld::DoDeploy},
      {"generate", &ProcessWorld::DoGenerate},
      {"print", &ProcessWorld::DoPrint},
      {"look_up", &ProcessWorld::DoLookUp},
      {"kill", &ProcessWorld::DoSignal},
      {"term", &ProcessWorld::DoSignal},
      {"freeze", &ProcessWorld::DoSignal},
      {"thaw", &ProcessWorld::DoSignal},
      {"restart", &ProcessWorld::DoRestart},
      {"platform", &ProcessWorld::DoPlatform},
      {"submit", &ProcessWorld::DoSubmit},
      {"expect", &ProcessWorld::DoExpect},
  };
  const auto found = verbs.find(command.verb);
  if (found == verbs.end()) {
    return Failed("unknown verb " + command.verb);
  }
  return (this->*found->second)(command);
}

absl::Status ProcessWorld::DoDeploy(const Command& command) {
  const auto token_time =
      scenario::ParseDuration(Option(command, "token", "20ms"));
  const auto call_time =
      scenario::ParseDuration(Option(command, "call", "0ms"));
  if (!token_time.ok() || !call_time.ok()) {
    return Failed("deploy: token and call must be durations");
  }
  deployment_ = std::make_unique<Deployment>(
      DeploymentOptions{.token_time = *token_time, .call_time = *call_time});
  absl::Status started = deployment_->Start();
  // Scenario times are relative to the end of the deployment.
  start_ = common::Clock::now() - command.at;
  return started;
}

absl::Status ProcessWorld::DoGenerate(const Command& command) {
  const std::string name = Word(command, 0);
  const GenerateSpec spec{
      .url = deployment_->CallerUrl(Option(command, "entry")),
      .key = kCustomerKey,
      .prompt = Option(command, "prompt", "prompt of " + name),
      .tokens = static_cast<uint64_t>(Number(command, "tokens"))};
  expected_texts_[name] = standins::AnswerText(spec.prompt, spec.tokens);
  requests_[name] =
      std::async(std::launch::async, [spec] { return Generate(spec); }).share();
  return absl::OkStatus();
}

PrintSpec ProcessWorld::PrintSpecOf(const Command& command) const {
  return {.url = deployment_->CallerUrl(Option(command, "entry")),
          .key = Option(command, "customer", "one") == "two" ? kOtherCustomerKey
                                                             : kCustomerKey,
          .idempotency_key = Option(command, "key"),
          .badge = Option(command, "badge", Option(command, "key"))};
}

absl::Status ProcessWorld::DoPrint(const Command& command) {
  requests_[Word(command, 0)] =
      std::async(std::launch::async, [spec = PrintSpecOf(command)] {
        return Print(spec);
      }).share();
  return absl::OkStatus();
}

absl::Status ProcessWorld::DoLookUp(const Command& command) {
  requests_[Word(command, 0)] =
      std::async(std::launch::async, [spec = PrintSpecOf(command)] {
        return LookUp(spec);
      }).share();
  return absl::OkStatus();
}

absl::Status ProcessWorld::DoSignal(const Command& command) {
  static const std::map<std::string, int> signals = {{"kill", SIGKILL},
                                                     {"term", SIGTERM},
                                                     {"freeze", SIGSTOP},
                                                     {"thaw", SIGCONT}};
  for (const std::string& name : command.words) {
    ChildProcess* process = deployment_->Find(name);
    if (process == nullptr) {
      return Failed("no process is called " + name);
    }
    process->Signal(signals.at(command.verb));
    // While a process is being killed, it may still accept a connection and
    // reset it later. So the next process is killed only after this one has
    // exited.
    if (command.verb == "kill" &&
        !process->WaitForExit(kExitTimeout).has_value()) {
      return Failed(name + " did not exit within 20 s");
    }
  }
  return absl::OkStatus();
}

absl::Status ProcessWorld::DoRestart(const Command& command) {
  return deployment_->Restart(Word(command, 0), Option(command, "as"));
}

absl::Status ProcessWorld::DoPlatform(const Command& command) {
  const auto outcome = http_client::Call(
      {.method = "POST",
       .url = common::StrCat(deployment_->StandinUrl("platform"), "/fault/",
                             Word(command, 0))},
      common::seconds(2));
  return std::holds_alternative<http_client::Reply>(outcome)
             ? absl::OkStatus()
             : Failed("the platform stand-in did not answer the fault request");
}

absl::Status ProcessWorld::DoSubmit(const Command& command) {
  manifest::Manifest manifest = deployment_->BaseManifest();
  const auto phase = common::ValueOf(manifest::kWindDownPhaseNames,
                                     Option(command, "phase", "serving"));
  if (!phase.has_value()) {
    return Failed("submit: unknown phase");
  }
  manifest.phase = *phase;
  return deployment_
      ->Submit(Option(command, "entry"),
               static_cast<uint64_t>(Number(command, "base")), manifest)
      .status();
}

absl::Status ProcessWorld::DoExpect(const Command& command) {
  static const std::map<std::string, Verb> expectations = {
      {"complete", &ProcessWorld::ExpectComplete},
      {"refused", &ProcessWorld::ExpectRefused},
      {"same", &ProcessWorld::ExpectSame},
      {"runs", &ProcessWorld::ExpectRuns},
      {"exited", &ProcessWorld::ExpectExited},
      {"version", &ProcessWorld::ExpectVersion},
      {"logged", &ProcessWorld::ExpectLogged},
      {"starts", &ProcessWorld::ExpectStarts},
  };
  const auto found = expectations.find(Word(command, 0));
  if (found == expectations.end()) {
    return Failed("unknown expectation " + Word(command, 0));
  }
  return (this->*found->second)(command);
}

absl::StatusOr<CallerAnswer> ProcessWorld::Answer(const std::string& name) {
  const auto found = requests_.find(name);
  if (found == requests_.end()) {
    return Failed("no request is called " + name);
  }
  if (found->second.wait_for(kAnswerTimeout) != std::future_status::ready) {
    return Failed(name + " got no answer within 40 s");
  }
  return found->second.get();
}

absl::Status ProcessWorld::ExpectComplete(const Command& command) {
  const std::string name = Word(command, 1);
  const auto answer = Answer(name);
  if (!answer.ok()) {
    return answer.status();
  }
  const auto text = expected_texts_.find(name);
  const bool correct = answer->complete && (text == expected_texts_.end() ||
                                            text->second == answer->text);
  return correct ? absl::OkStatus() : Failed(Describe(*answer));
}

absl::Status ProcessWorld::ExpectRefused(const Command& command) {
  const auto answer = Answer(Word(command, 1));
  if (!answer.ok()) {
    return answer.status();
  }
  const bool matches = !answer->complete &&
                       answer->code == Option(command, "code") &&
                       answer->ran == Option(command, "ran", answer->ran);
  return matches ? absl::OkStatus() : Failed(Describe(*answer));
}

absl::Status ProcessWorld::ExpectSame(const Command& command) {
  const auto one = Answer(Word(command, 1));
  const auto other = Answer(Word(command, 2));
  if (!one.ok() || !other.ok()) {
    return Failed("an answer is missing");
  }
  const bool same =
      one->complete && other->complete && one->text == other->text;
  return same ? absl::OkStatus()
              : Failed(Describe(*one) + " and " + Describe(*other));
}

absl::Status ProcessWorld::ExpectRuns(const Command& command) {
  const auto runs = GetJson(deployment_->StandinUrl("service") + "/runs");
  if (!runs.ok()) {
    return runs.status();
  }
  const std::string badge = Json(Option(command, "badge")).dump();
  const int64_t count = runs->value(badge, int64_t{0});
  return count == Number(command, "count")
             ? absl::OkStatus()
             : Failed(common::StrCat("the service ran it ", count, " times"));
}

absl::Status ProcessWorld::ExpectExited(const Command& command) {
  ChildProcess* process = deployment_->Find(Word(command, 1));
  if (process == nullptr) {
    return Failed("expect exited: unknown process");
  }
  const auto code = process->WaitForExit(kExitTimeout);
  if (!code.has_value()) {
    return Failed("the process did not exit within 20 s");
  }
  return *code == Number(command, "code")
             ? absl::OkStatus()
             : Failed(common::StrCat("the exit code is ", *code));
}

absl::Status ProcessWorld::ExpectVersion(const Command& command) {
  const std::string url =
      deployment_->AdminUrl(Option(command, "entry")) + "/manifest";
  const common::Time deadline = common::Clock::now() + kVersionTimeout;
  int64_t version = 0;
  while (common::Clock::now() < deadline) {
    const auto json = GetJson(url);
    version = json.ok() ? json->value("version", int64_t{0}) : 0;
    if (version == Number(command, "is")) {
      return absl::OkStatus();
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
  return Failed(common::StrCat("after 20 s the version is ", version));
}

absl::Status ProcessWorld::ExpectLogged(const Command& command) {
  std::ifstream log(
      common::StrCat(deployment_->log_folder(), "/", Word(command, 1), ".log"));
  const std::string event = Option(command, "event") + " ";
  int64_t count = 0;
  std::string line;
  while (std::getline(log, line)) {
    count += line.find(event) == std::string::npos ? 0 : 1;
  }
  const bool matches = command.options.contains("at_least")
                           ? count >= Number(command, "at_least")
                           : count == Number(command, "count");
  return matches ? absl::OkStatus()
                 : Failed(common::StrCat("the process logged the event ", count,
                                         " times"));
}

absl::Status ProcessWorld::ExpectStarts(const Command& command) {
  const auto stats =
      GetJson(deployment_->StandinUrl(Word(command, 1)) + "/stats");
  if (!stats.ok()) {
    return stats.status();
  }
  const int64_t count = stats->value("started", int64_t{-1});
  return count == Number(command, "count")
             ? absl::OkStatus()
             : Failed(common::StrCat("the engine started ", count,
                                     " generations"));
}

}  // namespace wagtailshore::e2e
