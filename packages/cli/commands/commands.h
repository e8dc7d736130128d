#ifndef CLI_COMMANDS_COMMANDS_H_
#define CLI_COMMANDS_COMMANDS_H_

#include <ostream>
#include <string>
#include <vector>

// The operators' subcommands.
namespace wagtailshore::commands {

enum class ExitCode {
  kDone = 0,
  // The input has findings or the system refused.
  kRefused = 1,
  kUsage = 2,
};

// Runs the subcommand named first in `arguments`.
ExitCode Run(const std::vector<std::string>& arguments,
             std::ostream& out,
             std::ostream& err);

}  // namespace wagtailshore::commands

#endif  // CLI_COMMANDS_COMMANDS_H_
