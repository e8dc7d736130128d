#ifndef PROTOCOL_MESSAGES_DEPTH_CHECK_H_
#define PROTOCOL_MESSAGES_DEPTH_CHECK_H_

#include <string_view>

namespace wagtailshore::messages {

// Whether `bytes` is msgpack nested no deeper than any of our messages. The
// library's decoder recurses once per level, so deeper input could exhaust
// the stack.
bool NestsWithinLimit(std::string_view bytes);

}  // namespace wagtailshore::messages

#endif  // PROTOCOL_MESSAGES_DEPTH_CHECK_H_
