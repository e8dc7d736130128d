#include "cli/commands/commands.h"

#include <array>
#include <string_view>

#include "cli/commands/command_line.h"

namespace wagtailshore::commands {
namespace {

constexpr char kVersion[] = "0.1.0";

struct Subcommand {
  std::string_view name;
  const char* help;
  ExitCode (*run)(CommandLine&, const Context&);
};

constexpr std::array kSubcommands = {
    Subcommand{"check",
               "Checks a manifest file, without contacting any process.",
               &RunCheck},
    Subcommand{"submit", "Submits a manifest to an entry.", &RunSubmit},
    Subcommand{"status", "Shows versions, groups and endpoints.", &RunStatus},
    Subcommand{"dump", "Shows the state of a process.", &RunDump},
    Subcommand{"events", "Explains numbered log events.", &RunEvents},
    Subcommand{"plan", "Shows what a manifest would change.", &RunPlan},
};

void PrintUsage(std::ostream& out) {
  out << "usage: wagtailshore SUBCOMMAND [--help] ...\n";
  for (const Subcommand& subcommand : kSubcommands) {
    out << "  " << subcommand.name << "\t" << subcommand.help << "\n";
  }
}

ExitCode RunOne(const Subcommand& subcommand,
                std::vector<std::string> arguments,
                const Context& context) {
  try {
    CommandLine line(subcommand.help, std::string(subcommand.name));
    line.SetArguments(std::move(arguments));
    return subcommand.run(line, context);
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus() == 0 ? ExitCode::kDone : ExitCode::kUsage;
  } catch (const TCLAP::ArgException& error) {
    context.err << error.argId() << ": " << error.error() << "\n";
    return ExitCode::kUsage;
  }
}

}  // namespace

ExitCode Run(const std::vector<std::string>& arguments,
             const Environment& environment,
             std::ostream& out,
             std::ostream& err) {
  if (arguments.empty()) {
    PrintUsage(err);
    return ExitCode::kUsage;
  }
  const std::string& name = arguments.front();
  if (name == "--help" || name == "-h") {
    PrintUsage(out);
    return ExitCode::kDone;
  }
  if (name == "--version") {
    out << "wagtailshore " << kVersion << "\n";
    return ExitCode::kDone;
  }
  for (const Subcommand& subcommand : kSubcommands) {
    if (subcommand.name == name) {
      return RunOne(subcommand, {arguments.begin() + 1, arguments.end()},
                    {.out = out,
                     .err = err,
                     .admin_token = environment(kAdminTokenVariable)});
    }
  }
  err << "wagtailshore: unknown subcommand \"" << name << "\"\n";
  PrintUsage(err);
  return ExitCode::kUsage;
}

}  // namespace wagtailshore::commands
