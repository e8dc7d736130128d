#include "protocol/engine_line/engine_line.h"

#include <nlohmann/json.hpp>

namespace wagtailshore::engine_line {

absl::StatusOr<EnginePiece> Parse(std::string_view line) {
  using Json = nlohmann::json;
  const Json json = Json::parse(line, nullptr, /*allow_exceptions=*/false);
  try {
    return EnginePiece{.tokens = json.at("tokens"),
                       .text = json.at("text"),
                       .last = json.at("last")};
  } catch (const Json::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

}  // namespace wagtailshore::engine_line
