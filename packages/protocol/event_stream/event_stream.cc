#include "protocol/event_stream/event_stream.h"

#include <algorithm>

#include "absl/strings/numbers.h"
#include "common/strings.h"

namespace wagtailshore::event_stream {
namespace {

// Returns the offset behind the first event in `text`, including its empty
// line, or npos if the event is incomplete.
size_t EventEnd(std::string_view text) {
  constexpr std::string_view kLfEnd = "\n\n";
  constexpr std::string_view kCrlfEnd = "\r\n\r\n";
  const size_t lf_end = text.find(kLfEnd);
  const size_t crlf_end = text.find(kCrlfEnd);
  size_t end = std::string_view::npos;
  if (lf_end != std::string_view::npos) {
    end = lf_end + kLfEnd.size();
  }
  if (crlf_end != std::string_view::npos) {
    end = std::min(end, crlf_end + kCrlfEnd.size());
  }
  return end;
}

std::optional<uint64_t> IdOf(std::string_view text) {
  constexpr std::string_view kField = "id:";
  while (!text.empty()) {
    const size_t end = text.find('\n');
    const std::string_view line = text.substr(0, end);
    if (line.starts_with(kField)) {
      uint64_t id = 0;
      // SimpleAtoi() ignores blanks around the number.
      return absl::SimpleAtoi(common::AsAbsl(line.substr(kField.size())), &id)
                 ? std::optional<uint64_t>(id)
                 : std::nullopt;
    }
    text = end == std::string_view::npos ? std::string_view()
                                         : text.substr(end + 1);
  }
  return std::nullopt;
}

bool IsComment(std::string_view text) {
  while (!text.empty()) {
    const size_t end = text.find('\n');
    const std::string_view line = text.substr(0, end);
    if (!line.empty() && line != "\r" && !line.starts_with(':')) {
      return false;
    }
    text = end == std::string_view::npos ? std::string_view()
                                         : text.substr(end + 1);
  }
  return true;
}

}  // namespace

std::vector<Event> Splitter::Feed(std::string_view data) {
  buffer_ += data;
  std::vector<Event> events;
  size_t start = 0;
  while (start < buffer_.size()) {
    const std::string_view rest = std::string_view(buffer_).substr(start);
    const size_t end = EventEnd(rest);
    if (end == std::string_view::npos) {
      break;
    }
    const std::string_view text = rest.substr(0, end);
    events.push_back({.text = std::string(text),
                      .id = IdOf(text),
                      .comment = IsComment(text)});
    start += end;
  }
  buffer_.erase(0, start);
  return events;
}

}  // namespace wagtailshore::event_stream
