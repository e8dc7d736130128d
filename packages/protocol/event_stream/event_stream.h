#ifndef PROTOCOL_EVENT_STREAM_EVENT_STREAM_H_
#define PROTOCOL_EVENT_STREAM_EVENT_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Server-sent events: a stream of texts that each end with an empty line.
namespace wagtailshore::event_stream {

struct Event {
  // As it came, the empty line at its end included.
  std::string text;
  // From its "id" line.
  std::optional<uint64_t> id;
};

// Cuts a stream into whole events.
class Splitter {
 public:
  // The events that `data` completes.
  std::vector<Event> Feed(std::string_view data);
  // Whether the stream stopped in the middle of an event.
  bool has_partial() const { return !buffer_.empty(); }
  size_t partial_bytes() const { return buffer_.size(); }
  // Drops what began and did not end.
  void Reset() { buffer_.clear(); }

 private:
  std::string buffer_;
};

}  // namespace wagtailshore::event_stream

#endif  // PROTOCOL_EVENT_STREAM_EVENT_STREAM_H_
