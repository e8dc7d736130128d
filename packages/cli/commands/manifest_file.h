#ifndef CLI_COMMANDS_MANIFEST_FILE_H_
#define CLI_COMMANDS_MANIFEST_FILE_H_

#include <optional>
#include <string>
#include <variant>

#include "cli/commands/command_line.h"
#include "common/finding.h"
#include "state/manifest/manifest.h"

namespace wagtailshore::commands {

// Returns the file's text. Prints an error to `context.err` and returns nothing
// if it cannot be read.
std::optional<std::string> ReadFile(const std::string& path,
                                    const Context& context);

// Prints findings to `context.out`.
void PrintFindings(const common::Findings& findings,
                   OutputFormat format,
                   const Context& context);

}  // namespace wagtailshore::commands

#endif  // CLI_COMMANDS_MANIFEST_FILE_H_
