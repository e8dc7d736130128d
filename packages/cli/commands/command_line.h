#ifndef CLI_COMMANDS_COMMAND_LINE_H_
#define CLI_COMMANDS_COMMAND_LINE_H_

#include <tclap/CmdLine.h>

#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "cli/commands/commands.h"

namespace wagtailshore::commands {

enum class OutputFormat { kText, kJson };

// The output streams of a subcommand and its credentials for admin addresses.
struct Context {
  std::ostream& out;
  std::ostream& err;
  // Sent to admin addresses; never printed.
  std::optional<std::string> admin_token;
};

// The flags that all subcommands share, and the parser to which a subcommand
// adds its own.
class CommandLine {
 public:
  CommandLine(const std::string& help, const std::string& name);

  TCLAP::CmdLine& parser() { return parser_; }
  // Parses the arguments that were set. Throws TCLAP's exceptions.
  void Parse();
  void SetArguments(std::vector<std::string> arguments);
  OutputFormat format() const;

 private:
  std::string name_;
  std::vector<std::string> arguments_;
  TCLAP::CmdLine parser_;
  std::vector<std::string> formats_ = {"text", "json"};
  TCLAP::ValuesConstraint<std::string> format_constraint_;
  TCLAP::ValueArg<std::string> format_;
};

// The subcommands; each is defined in the file with its name.
ExitCode RunCheck(CommandLine& line, const Context& context);
ExitCode RunSubmit(CommandLine& line, const Context& context);
ExitCode RunStatus(CommandLine& line, const Context& context);
ExitCode RunDump(CommandLine& line, const Context& context);
ExitCode RunEvents(CommandLine& line, const Context& context);
ExitCode RunPlan(CommandLine& line, const Context& context);

}  // namespace wagtailshore::commands

#endif  // CLI_COMMANDS_COMMAND_LINE_H_
