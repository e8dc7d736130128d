#ifndef PROTOCOL_EVENT_STREAM_EVENT_STREAM_H_
#define PROTOCOL_EVENT_STREAM_EVENT_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Splits a stream of server-sent events, each of which ends with an empty line.
namespace wagtailshore::event_stream {

struct Event {
  // The unmodified bytes of the event, including the empty line at its end.
  std::string text;
  // Number in the event's "id" line; nullopt if there is none or it is not a
  // number.
  std::optional<uint64_t> id;
  // Whether there are only comments and blank lines in it.
  bool comment = false;
};

// Splits a stream into complete events.
class Splitter {
 public:
  // Appends `data` and returns the events that are complete with it.
  std::vector<Event> Feed(std::string_view data);
  // Whether the data so far ends within an event.
  bool has_partial() const { return !buffer_.empty(); }
  size_t partial_bytes() const { return buffer_.size(); }
  // Discards an incomplete event.
  void Reset() { buffer_.clear(); }

 private:
  std::string buffer_;
};

}  // namespace wagtailshore::event_stream

#endif  // PROTOCOL_EVENT_STREAM_EVENT_STREAM_H_
