#ifndef PROTOCOL_ENGINE_LINE_ENGINE_LINE_H_
#define PROTOCOL_ENGINE_LINE_ENGINE_LINE_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

// Parses the lines of a model engine's streamed answer; each line is one JSON
// object.
namespace wagtailshore::engine_line {

// One piece of the engine's answer.
struct EnginePiece {
  // Number of tokens in this piece.
  uint64_t tokens = 0;
  std::string text;
  // Whether the answer is complete with this piece.
  bool last = false;
};

// Returns InvalidArgument if the line is not a JSON object or a field is
// missing or invalid.
absl::StatusOr<EnginePiece> Parse(std::string_view line);

}  // namespace wagtailshore::engine_line

#endif  // PROTOCOL_ENGINE_LINE_ENGINE_LINE_H_
