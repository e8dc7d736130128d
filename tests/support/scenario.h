#ifndef SUPPORT_SCENARIO_H_
#define SUPPORT_SCENARIO_H_

#include <istream>
#include <map>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "common/time.h"

// The language of scenario files, described in docs/TESTING.md. A line is "at
// TIME VERB WORD... KEY=VALUE...", with TIME in "ms" or "s" since the start of
// the scenario. TIME must not decrease from line to line. "#" starts a comment.
namespace wagtailshore::scenario {

struct Command {
  // Line number in the file, starting at 1.
  int line = 0;
  // Time since the start of the scenario.
  common::Duration at{};
  std::string verb;
  std::vector<std::string> words;
  std::map<std::string, std::string> options;
};

// The system that a scenario controls: production decision code with fakes on a
// virtual clock, or real processes.
class World {
 public:
  virtual ~World() = default;
  // Advances to the time `at` and runs the events that are due.
  virtual void AdvanceTo(common::Duration at) = 0;
  // Executes a command. Returns an error when that is not possible or when an
  // "expect" fails.
  virtual absl::Status Do(const Command& command) = 0;
};

// Parses a scenario. An error names the line.
absl::StatusOr<std::vector<Command>> Parse(std::istream& text);

// Runs a scenario. An error names the line.
absl::Status RunScript(std::istream& text, World& world);

// Runs the scenario file at `path`. Returns kNotFound when it cannot be opened.
absl::Status RunFile(const std::string& path, World& world);

// Parses a duration such as "250ms" or "1.5s", rounded down to milliseconds.
absl::StatusOr<common::Duration> ParseDuration(const std::string& text);

}  // namespace wagtailshore::scenario

#endif  // SUPPORT_SCENARIO_H_
