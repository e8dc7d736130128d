#ifndef COMMON_MSGPACK_DEPTH_H_
#define COMMON_MSGPACK_DEPTH_H_

#include <string_view>

namespace wagtailshore::common {

// Whether `bytes` is valid msgpack within the nesting limit, which no message
// of this system exceeds. The library's decoder recurses once per level, so
// deeper input could exhaust the stack.
bool NestsWithinLimit(std::string_view bytes);

}  // namespace wagtailshore::common

#endif  // COMMON_MSGPACK_DEPTH_H_
