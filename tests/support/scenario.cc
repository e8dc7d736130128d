#include "support/scenario.h"

#include <fstream>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "common/strings.h"

namespace wagtailshore::scenario {
namespace {

absl::Status ErrorAt(int line, const std::string& message) {
  return absl::InvalidArgumentError(
      common::StrCat("line ", line, ": ", message));
}

absl::StatusOr<Command> ParseLine(int line,
                                  const std::vector<std::string>& words) {
  constexpr size_t kMinWords = 3;
  if (words.size() < kMinWords || words[0] != "at") {
    return ErrorAt(line, "must be \"at TIME VERB ...\"");
  }
  const auto at = ParseDuration(words[1]);
  if (!at.ok()) {
    return ErrorAt(line, std::string(at.status().message()));
  }
  Command command{.line = line, .at = *at, .verb = words[2]};
  for (size_t i = kMinWords; i < words.size(); ++i) {
    const size_t equals = words[i].find('=');
    if (equals == std::string::npos) {
      command.words.push_back(words[i]);
    } else {
      command.options[words[i].substr(0, equals)] = words[i].substr(equals + 1);
    }
  }
  return command;
}

}  // namespace

absl::StatusOr<common::Duration> ParseDuration(const std::string& text) {
  constexpr double kMillisecondsPerSecond = 1000;
  double number = 0;
  double scale = 0;
  std::string digits = text;
  if (text.ends_with("ms")) {
    scale = 1;
    digits.resize(text.size() - 2);
  } else if (text.ends_with("s")) {
    scale = kMillisecondsPerSecond;
    digits.resize(text.size() - 1);
  }
  if (scale == 0 || !absl::SimpleAtod(digits, &number) || !(number >= 0)) {
    return absl::InvalidArgumentError(
        common::StrCat("\"", text, "\" is not a time like 250ms or 1.5s"));
  }
  return common::milliseconds(static_cast<int64_t>(number * scale));
}

absl::StatusOr<std::vector<Command>> Parse(std::istream& text) {
  std::vector<Command> commands;
  std::string content;
  for (int line = 1; std::getline(text, content); ++line) {
    content = content.substr(0, content.find('#'));
    const std::vector<std::string> words =
        absl::StrSplit(content, absl::ByAnyChar(" \t"), absl::SkipEmpty());
    if (words.empty()) {
      continue;
    }
    auto command = ParseLine(line, words);
    if (!command.ok()) {
      return command.status();
    }
    if (!commands.empty() && command->at < commands.back().at) {
      return ErrorAt(line, "time is earlier than on the previous command");
    }
    commands.push_back(*std::move(command));
  }
  return commands;
}

absl::Status RunScript(std::istream& text, World& world) {
  const auto commands = Parse(text);
  if (!commands.ok()) {
    return commands.status();
  }
  for (const Command& command : *commands) {
    world.AdvanceTo(command.at);
    const absl::Status done = world.Do(command);
    if (!done.ok()) {
      return ErrorAt(command.line, std::string(done.message()));
    }
  }
  return absl::OkStatus();
}

absl::Status RunFile(const std::string& path, World& world) {
  std::ifstream file(path);
  if (!file) {
    return absl::NotFoundError(path);
  }
  return RunScript(file, world);
}

}  // namespace wagtailshore::scenario
