#include "cli/commands/manifest_file.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace wagtailshore::commands {

std::optional<std::string> ReadFile(const std::string& path,
                                    const Context& context) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    context.err << path << ": cannot be read\n";
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void PrintFindings(const common::Findings& findings,
                   OutputFormat format,
                   const Context& context) {
  if (format == OutputFormat::kText) {
    context.out << common::FormatFindings(findings);
    return;
  }
  nlohmann::json list = nlohmann::json::array();
  for (const common::Finding& finding : findings) {
    list.push_back({{"place", finding.place}, {"message", finding.message}});
  }
  context.out
      << nlohmann::json{{"outcome", "findings"}, {"findings", list}}.dump(2)
      << "\n";
}

}  // namespace wagtailshore::commands
