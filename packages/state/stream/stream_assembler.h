#ifndef STATE_STREAM_STREAM_ASSEMBLER_H_
#define STATE_STREAM_STREAM_ASSEMBLER_H_

#include <cstdint>
#include <string>
#include <variant>

// Assembles the frames of several attempts of one request into one response.
namespace wagtailshore::stream {

// Identifies one attempt of a request by one entry process.
struct AttemptId {
  // Unique over all entries and their restarts.
  std::string request;
  uint32_t attempt = 0;

  bool operator==(const AttemptId&) const = default;
};

// A part of a response: the text of zero or more tokens.
struct Frame {
  AttemptId id;
  // Number of tokens of the response before this frame.
  uint64_t offset = 0;
  // Number of tokens in `text`.
  uint64_t tokens = 0;
  std::string text;
  // Set on the frame that ends the response; it may have no tokens.
  bool last = false;
};

// The frame continues the response; `text` is to be sent to the caller.
struct Deliver {
  std::string text;
  bool last = false;
};

// The frame belongs to another attempt or repeats tokens already delivered.
struct Discard {};

// Tokens are missing between the delivered ones and the frame. The attempt must
// be abandoned: on an ordered connection the missing tokens cannot arrive
// later.
struct Gap {};

using FrameOutcome = std::variant<Deliver, Discard, Gap>;

// Accepts frames in order of arrival and delivers each token of the response
// exactly once and in order, from the current attempt only. Frames that are
// late, duplicated or meant for another request are discarded.
class StreamAssembler {
 public:
  explicit StreamAssembler(std::string request);

  // Starts a new attempt, which must begin at next_offset(), and returns its
  // id.
  AttemptId StartAttempt();

  FrameOutcome Accept(const Frame& frame);

  // Tokens delivered so far.
  uint64_t next_offset() const { return next_offset_; }
  // The text of the tokens delivered so far.
  const std::string& text() const { return text_; }
  // Whether the whole response was delivered.
  bool complete() const { return complete_; }

 private:
  AttemptId current_;
  uint64_t next_offset_ = 0;
  std::string text_;
  bool complete_ = false;
};

}  // namespace wagtailshore::stream

#endif  // STATE_STREAM_STREAM_ASSEMBLER_H_
