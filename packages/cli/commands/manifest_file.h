#ifndef CLI_COMMANDS_MANIFEST_FILE_H_
#define CLI_COMMANDS_MANIFEST_FILE_H_

#include <optional>
#include <string>
#include <variant>

#include "cli/commands/command_line.h"
#include "common/finding.h"
#include "state/manifest/manifest.h"

namespace wagtailshore::commands {

// The file's text; says so on `context.err` when it cannot be read.
std::optional<std::string> ReadFile(const std::string& path,
                                    const Context& context);

// Prints findings on `context.out`.
void PrintFindings(const common::Findings& findings,
                   OutputFormat format,
                   const Context& context);

}  // namespace wagtailshore::commands

#endif  // CLI_COMMANDS_MANIFEST_FILE_H_
