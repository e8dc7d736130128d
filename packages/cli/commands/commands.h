#ifndef CLI_COMMANDS_COMMANDS_H_
#define CLI_COMMANDS_COMMANDS_H_

#include <functional>
#include <optional>
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

// Holds the token of admin addresses; never on the command line, which other
// users of the machine can read.
inline constexpr char kAdminTokenVariable[] = "WAGTAILSHORE_ADMIN_TOKEN";

// Looks an environment variable up.
using Environment =
    std::function<std::optional<std::string>(const std::string&)>;

// Runs the subcommand named first in `arguments`.
ExitCode Run(const std::vector<std::string>& arguments,
             const Environment& environment,
             std::ostream& out,
             std::ostream& err);

}  // namespace wagtailshore::commands

#endif  // CLI_COMMANDS_COMMANDS_H_
