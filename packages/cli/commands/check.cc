#include <nlohmann/json.hpp>
#include <variant>

#include "cli/commands/command_line.h"
#include "cli/commands/manifest_file.h"
#include "protocol/manifest_codec/manifest_codec.h"

namespace wagtailshore::commands {

ExitCode RunCheck(CommandLine& line, const Context& context) {
  TCLAP::UnlabeledValueArg<std::string> file("FILE", "the manifest", true, "",
                                             "file", line.parser());
  line.Parse();
  const auto text = ReadFile(file.getValue(), context);
  if (!text.has_value()) {
    return ExitCode::kUsage;
  }
  const auto parsed = manifest_codec::Parse(*text);
  if (const auto* findings = std::get_if<common::Findings>(&parsed)) {
    PrintFindings(*findings, line.format(), context);
    return ExitCode::kRefused;
  }
  if (line.format() == OutputFormat::kJson) {
    PrintFindings({}, OutputFormat::kJson, context);
  } else {
    context.out << "no findings\n";
  }
  return ExitCode::kDone;
}

}  // namespace wagtailshore::commands
