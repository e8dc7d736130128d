#ifndef PROTOCOL_HTTP1_MESSAGE_READER_H_
#define PROTOCOL_HTTP1_MESSAGE_READER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "protocol/http1/headers.h"

// Parses and serializes HTTP/1.1 messages. Parsing is strict: an ambiguous
// message is an error, because the two ends could disagree on where it ends.
namespace wagtailshore::http1 {

struct RequestHead {
  std::string method;
  // Path and query, as sent.
  std::string target;
  Headers headers;
  // Whether the connection may carry another request.
  bool keep_alive = false;
  // Whether the peer uses HTTP/1.1 or later and thus supports chunked bodies.
  bool chunks_allowed = false;
};

struct ResponseHead {
  int status = 0;
  std::string reason;
  Headers headers;
  // Whether the connection may carry another response.
  bool keep_alive = false;
  // Whether the body extends to the end of the connection.
  bool until_close = false;
};

struct ReaderOptions {
  size_t max_header_bytes = 16UL * 1024;
  uint64_t max_body_bytes = UINT64_MAX;
  // Whether the response answers a HEAD request and therefore has no body.
  bool without_body = false;
};

// Result of one Read() call.
struct Progress {
  // Bytes of the input that were consumed.
  size_t consumed = 0;
  // Whether the head became complete with this input.
  bool head_complete = false;
  // Body bytes in this input, without chunk framing.
  std::string body;
  // Whether the message became complete with this input.
  bool complete = false;
};

// Why a message is rejected. The values are the HTTP statuses to respond with.
enum class ReadError {
  kBadMessage = 400,
  kBodyTooLarge = 413,
  kHeadTooLarge = 431
};

// Maps an error of Read() or ReadEnd() to its ReadError.
ReadError ReadErrorOf(const absl::Status& status);

// Reads one message incrementally: a request or a response, depending on
// `Head`.
template <typename Head>
class MessageReader {
 public:
  explicit MessageReader(const ReaderOptions& options);
  ~MessageReader();
  MessageReader(MessageReader&&) noexcept;
  MessageReader& operator=(MessageReader&&) noexcept;

  // Reads `input`, which must continue where the previously consumed bytes
  // ended. Bytes after the message are not consumed. Must not be called again
  // after an error or after the message is complete.
  absl::StatusOr<Progress> Read(std::string_view input);
  // Call when the peer has closed the connection cleanly. Fails if the message
  // is incomplete.
  absl::Status ReadEnd();

  bool head_complete() const;
  const Head& head() const;
  // Length of the body that the head announces; nullopt if it announces none.
  // Only after the head is complete.
  std::optional<uint64_t> content_length() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

using RequestReader = MessageReader<RequestHead>;
using ResponseReader = MessageReader<ResponseHead>;

}  // namespace wagtailshore::http1

#endif  // PROTOCOL_HTTP1_MESSAGE_READER_H_
