#include <cstdint>
#include <string>

#include "protocol/event_stream/event_stream.h"
#include "protocol/http1/message_reader.h"

namespace wagtailshore::http1 {
namespace {

// Reads the text in pieces of `piece` bytes, as if it arrived on a connection.
template <typename Reader>
void ReadInPieces(const std::string& text, size_t piece) {
  Reader reader({.max_header_bytes = 1024, .max_body_bytes = 2048});
  event_stream::Splitter splitter;
  std::string input;
  for (size_t offset = 0; offset < text.size(); offset += piece) {
    input += text.substr(offset, piece);
    const auto progress = reader.Read(input);
    if (!progress.ok()) {
      (void)ReadErrorOf(progress.status());
      return;
    }
    input.erase(0, progress->consumed);
    (void)splitter.Feed(progress->body);
    if (progress->complete) {
      return;
    }
  }
  (void)reader.ReadEnd();
}

}  // namespace
}  // namespace wagtailshore::http1

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  if (size > 0) {
    const std::string text(data + 1, data + size);
    const size_t piece = 1 + data[0] % 64;
    wagtailshore::http1::ReadInPieces<wagtailshore::http1::RequestReader>(
        text, piece);
    wagtailshore::http1::ReadInPieces<wagtailshore::http1::ResponseReader>(
        text, piece);
  }
  return 0;
}
