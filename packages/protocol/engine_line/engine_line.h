#ifndef PROTOCOL_ENGINE_LINE_ENGINE_LINE_H_
#define PROTOCOL_ENGINE_LINE_ENGINE_LINE_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

// The lines of a model engine's streamed answer, one JSON object each.
namespace wagtailshore::engine_line {

// A piece of the engine's answer.
struct EnginePiece {
  uint64_t tokens = 0;
  std::string text;
  bool last = false;
};

absl::StatusOr<EnginePiece> Parse(std::string_view line);

}  // namespace wagtailshore::engine_line

#endif  // PROTOCOL_ENGINE_LINE_ENGINE_LINE_H_
