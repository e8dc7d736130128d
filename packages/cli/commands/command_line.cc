#include "cli/commands/command_line.h"

#include <utility>

#include "common/strings.h"

namespace wagtailshore::commands {
namespace {

constexpr char kVersion[] = "0.1.0";

}  // namespace

CommandLine::CommandLine(const std::string& help, const std::string& name)
    : name_(common::StrCat("wagtailshore ", name)),
      parser_(help, '=', kVersion),
      format_constraint_(formats_),
      format_("",
              "output",
              "how the result is printed",
              /*req=*/false,
              "text",
              &format_constraint_,
              parser_) {
  parser_.setExceptionHandling(false);
  // TCLAP keeps this flag in a process-wide variable; reset it for each command
  // line.
  TCLAP::OptionalUnlabeledTracker::alreadyOptional() = false;
}

void CommandLine::SetArguments(std::vector<std::string> arguments) {
  arguments_ = std::move(arguments);
}

void CommandLine::Parse() {
  std::vector<std::string> arguments = arguments_;
  arguments.insert(arguments.begin(), name_);
  parser_.parse(arguments);
}

OutputFormat CommandLine::format() const {
  return format_.getValue() == "json" ? OutputFormat::kJson
                                      : OutputFormat::kText;
}

}  // namespace wagtailshore::commands
