#include "protocol/engine_line/engine_line.h"

#include <exception>
#include <nlohmann/json.hpp>

#include "common/json_integer.h"

namespace wagtailshore::engine_line {

absl::StatusOr<EnginePiece> Parse(std::string_view line) {
  using Json = nlohmann::json;
  const Json json = Json::parse(line, nullptr, /*allow_exceptions=*/false);
  try {
    return EnginePiece{
        .tokens = common::IntegerFrom<uint64_t>(json.at("tokens")),
        .text = json.at("text"),
        .last = json.at("last")};
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

}  // namespace wagtailshore::engine_line
