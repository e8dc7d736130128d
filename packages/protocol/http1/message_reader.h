#ifndef PROTOCOL_HTTP1_MESSAGE_READER_H_
#define PROTOCOL_HTTP1_MESSAGE_READER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "protocol/http1/headers.h"

// HTTP/1.1 messages to and from bytes. Strict: what could be read in two ways
// is an error, as the two ends would then disagree where a message ends.
namespace wagtailshore::http1 {

struct RequestHead {
  std::string method;
  // Path and query, as sent.
  std::string target;
  Headers headers;
  // Whether the connection may carry another request.
  bool keep_alive = false;
  // Whether the peer speaks HTTP/1.1 and thus understands chunks.
  bool chunks_allowed = false;
};

struct ResponseHead {
  int status = 0;
  std::string reason;
  Headers headers;
  // Whether the connection may carry another response.
  bool keep_alive = false;
  // The body ends with the connection.
  bool until_close = false;
};

struct ReaderOptions {
  size_t max_header_bytes = 16UL * 1024;
  uint64_t max_body_bytes = UINT64_MAX;
  // The response answers a HEAD request and has no body.
  bool without_body = false;
};

// What a reader took out of its input.
struct Progress {
  size_t consumed = 0;
  // The head became complete with this input.
  bool head_complete = false;
  // Body bytes, without their framing.
  std::string body;
  // The message became complete with this input.
  bool complete = false;
};

// Why a message is refused; the code that an HTTP server answers with.
enum class ReadError {
  kBadMessage = 400,
  kBodyTooLarge = 413,
  kHeadTooLarge = 431
};

// The reason behind an error of a reader.
ReadError ReadErrorOf(const absl::Status& status);

// Reads one message of the type that `Head` is the head of.
template <typename Head>
class MessageReader {
 public:
  explicit MessageReader(const ReaderOptions& options);
  ~MessageReader();
  MessageReader(MessageReader&&) noexcept;
  MessageReader& operator=(MessageReader&&) noexcept;

  // Takes in what follows what was consumed before. Bytes after the message are
  // not consumed. After an error or the end, must not be called again.
  absl::StatusOr<Progress> Read(std::string_view input);
  // The connection ended in order. Fails when the message is not complete by
  // that.
  absl::Status ReadEnd();

  bool head_complete() const;
  const Head& head() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

using RequestReader = MessageReader<RequestHead>;
using ResponseReader = MessageReader<ResponseHead>;

}  // namespace wagtailshore::http1

#endif  // PROTOCOL_HTTP1_MESSAGE_READER_H_
