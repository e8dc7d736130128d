#include "cli/commands/admin_call.h"
#include "cli/commands/command_line.h"

namespace wagtailshore::commands {

ExitCode RunDump(CommandLine& line, const Context& context) {
  TCLAP::UnlabeledValueArg<std::string> address(
      "ADDRESS", "a process's admin address", true, "", "IP:port",
      line.parser());
  line.Parse();
  const auto reply =
      CallAdmin({.address = address.getValue(), .path = "/dump"}, context);
  if (!reply.has_value()) {
    return ExitCode::kRefused;
  }
  // A dump is JSON in both formats; the text format has line breaks and
  // indentation.
  const bool compact =
      line.format() == OutputFormat::kJson && !reply->json.is_discarded();
  context.out << (compact ? reply->json.dump() : reply->body) << "\n";
  return reply->ok() ? ExitCode::kDone : ExitCode::kRefused;
}

}  // namespace wagtailshore::commands
