#ifndef STATE_STREAM_STREAM_ASSEMBLER_H_
#define STATE_STREAM_STREAM_ASSEMBLER_H_

#include <cstdint>
#include <string>
#include <variant>

// Turns the frames of several attempts of one request into one whole answer.
namespace wagtailshore::stream {

// Names one try of a request by one entry process.
struct AttemptId {
  // Unique over all entries and their restarts.
  std::string request;
  uint32_t attempt = 0;

  bool operator==(const AttemptId&) const = default;
};

// A piece of an answer: one or more tokens' text.
struct Frame {
  AttemptId id;
  // Tokens before this frame in the whole answer.
  uint64_t offset = 0;
  // Tokens in `text`.
  uint64_t tokens = 0;
  std::string text;
  // Set on the frame that ends the answer; it may have no tokens.
  bool last = false;
};

// The frame continues the answer; hand `text` to the caller.
struct Deliver {
  std::string text;
  bool last = false;
};

// The frame belongs to another attempt or repeats tokens already delivered.
struct Discard {};

// Tokens are missing between what was delivered and the frame. The attempt
// must be given up: waiting cannot bring them on an ordered connection.
struct Gap {};

using FrameOutcome = std::variant<Deliver, Discard, Gap>;

// Accepts frames in the order in which they arrive and delivers each token of
// the answer exactly once and in order, from the current attempt only. Frames
// that are late, doubled or meant for another request are discarded.
class StreamAssembler {
 public:
  explicit StreamAssembler(std::string request);

  // Makes a new attempt the current one and returns its id. The attempt has to
  // begin at next_offset().
  AttemptId StartAttempt();

  FrameOutcome Accept(const Frame& frame);

  // Tokens delivered so far.
  uint64_t next_offset() const { return next_offset_; }
  // The text of the tokens delivered so far.
  const std::string& text() const { return text_; }
  // Whether the whole answer was delivered.
  bool complete() const { return complete_; }

 private:
  AttemptId current_;
  uint64_t next_offset_ = 0;
  std::string text_;
  bool complete_ = false;
};

}  // namespace wagtailshore::stream

#endif  // STATE_STREAM_STREAM_ASSEMBLER_H_
