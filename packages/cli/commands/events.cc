#include <nlohmann/json.hpp>

#include "cli/commands/command_line.h"
#include "common/event_log.h"

namespace wagtailshore::commands {

ExitCode RunEvents(CommandLine& line, const Context& context) {
  TCLAP::UnlabeledValueArg<int> number("NUMBER", "one event's number", false, 0,
                                       "number", line.parser());
  line.Parse();
  nlohmann::json found = nlohmann::json::array();
  for (const common::EventSpec& spec : common::EventCatalogue()) {
    const int id = static_cast<int>(spec.id);
    if (number.isSet() && number.getValue() != id) {
      continue;
    }
    found.push_back({{"number", id},
                     {"title", spec.title},
                     {"cause", spec.cause},
                     {"action", spec.action}});
    if (line.format() == OutputFormat::kText) {
      context.out << "WS-" << id << " " << spec.title
                  << "\n  cause:  " << spec.cause
                  << "\n  action: " << spec.action << "\n";
    }
  }
  if (line.format() == OutputFormat::kJson) {
    context.out << found.dump(2) << "\n";
  }
  if (found.empty()) {
    context.err << "wagtailshore: no event has this number\n";
    return ExitCode::kRefused;
  }
  return ExitCode::kDone;
}

}  // namespace wagtailshore::commands
