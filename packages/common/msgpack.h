#ifndef COMMON_MSGPACK_H_
#define COMMON_MSGPACK_H_

#include <exception>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "common/msgpack_depth.h"

// Values as MessagePack.
namespace wagtailshore::common {

inline std::string PackMsgpack(const nlohmann::json& value) {
  std::string out;
  nlohmann::json::to_msgpack(value,
                             nlohmann::detail::output_adapter<char>(out));
  return out;
}

// Decodes a MessagePack map and calls `read` on it. The exceptions that `read`
// throws for a missing field or one of a wrong type become InvalidArgument.
template <typename Read>
auto UnpackMsgpack(std::string_view text, Read read)
    -> absl::StatusOr<decltype(read(nlohmann::json()))> {
  // A level takes a byte at least, so shorter texts cannot exhaust the stack.
  constexpr size_t kHarmlessBytes = 1024;
  if (text.size() > kHarmlessBytes && !NestsWithinLimit(text)) {
    return absl::InvalidArgumentError("malformed or nested too deep");
  }
  const nlohmann::json value =
      nlohmann::json::from_msgpack(text.begin(), text.end(),
                                   /*strict=*/true,
                                   /*allow_exceptions=*/false);
  if (!value.is_object()) {
    return absl::InvalidArgumentError("not a MessagePack map");
  }
  try {
    return read(value);
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

}  // namespace wagtailshore::common

#endif  // COMMON_MSGPACK_H_
