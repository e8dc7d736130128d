#include "state/stream/stream_assembler.h"

#include <utility>

#include "common/invariant.h"

namespace wagtailshore::stream {

StreamAssembler::StreamAssembler(std::string request)
    : current_{std::move(request), 0} {}

AttemptId StreamAssembler::StartAttempt() {
  WS_INVARIANT(!complete_)
      << "no further attempt may start after a complete response";
  ++current_.attempt;
  return current_;
}

FrameOutcome StreamAssembler::Accept(const Frame& frame) {
  if (frame.id != current_ || complete_) {
    return Discard{};
  }
  if (frame.offset > next_offset_) {
    return Gap{};
  }
  // A frame before the next offset repeats delivered tokens. The last frame may
  // be empty and is then at the next offset.
  if (frame.offset < next_offset_) {
    return Discard{};
  }
  next_offset_ += frame.tokens;
  text_ += frame.text;
  complete_ = frame.last;
  return Deliver{frame.text, frame.last};
}

}  // namespace wagtailshore::stream
