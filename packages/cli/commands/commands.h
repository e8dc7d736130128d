#ifndef CLI_COMMANDS_COMMANDS_H_
#define CLI_COMMANDS_COMMANDS_H_

#include <functional>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

// The subcommands of the operators' command-line tool.
namespace wagtailshore::commands {

enum class ExitCode {
  kDone = 0,
  // The input has findings, or the system refused it or did not answer.
  kRefused = 1,
  kUsage = 2,
};

// The environment variable with the token for admin addresses. The token is not
// passed as a flag, because other users of the machine can read command lines.
inline constexpr char kAdminTokenVariable[] = "WAGTAILSHORE_ADMIN_TOKEN";

// Returns the value of an environment variable, or nothing if it is not set.
using Environment =
    std::function<std::optional<std::string>(const std::string&)>;

// Runs the subcommand named first in `arguments`.
ExitCode Run(const std::vector<std::string>& arguments,
             const Environment& environment,
             std::ostream& out,
             std::ostream& err);

}  // namespace wagtailshore::commands

#endif  // CLI_COMMANDS_COMMANDS_H_
