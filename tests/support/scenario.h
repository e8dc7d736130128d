#ifndef SUPPORT_SCENARIO_H_
#define SUPPORT_SCENARIO_H_

#include <istream>
#include <map>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "common/time.h"

// The scripted scenarios' small test language, described in docs/TESTING.md.
// A line is "at TIME VERB WORD... KEY=VALUE...", with TIME in "ms" or "s" from
// the scenario's start, never falling from line to line. "#" begins a comment.
namespace wagtailshore::scenario {

struct Command {
  // Line in the file, from 1.
  int line = 0;
  // From the scenario's start.
  common::Duration at{};
  std::string verb;
  std::vector<std::string> words;
  std::map<std::string, std::string> options;
};

// What a scenario acts on: the real decision code under a virtual clock with
// fakes at its interfaces, or real processes.
class World {
 public:
  virtual ~World() = default;
  // Lets everything due before `at` happen.
  virtual void AdvanceTo(common::Duration at) = 0;
  // Carries a command out, or says why it cannot or why an "expect" fails.
  virtual absl::Status Do(const Command& command) = 0;
};

absl::StatusOr<std::vector<Command>> Parse(std::istream& text);

// Runs a scenario; the error names the file's line.
absl::Status RunScript(std::istream& text, World& world);

// Runs the scenario file at `path`.
absl::Status RunFile(const std::string& path, World& world);

// "250ms" or "1.5s".
absl::StatusOr<common::Duration> ParseDuration(const std::string& text);

}  // namespace wagtailshore::scenario

#endif  // SUPPORT_SCENARIO_H_
