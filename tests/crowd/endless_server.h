#ifndef CROWD_ENDLESS_SERVER_H_
#define CROWD_ENDLESS_SERVER_H_

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "transport/event_loop/event_loop.h"
#include "transport/stream_socket/listener.h"

// A server that sends bytes without end.
namespace wagtailshore::crowd {

// Which bytes the server sends.
enum class Flood {
  // No head: letters, blank lines, zero bytes, a status line, one field, fields
  // and interim responses without end.
  kLetters,
  kBlankLines,
  kZeroBytes,
  kStatusLine,
  kField,
  kFields,
  kInterimResponses,
  // A response to another request without an end, and many of them.
  kForeignResponse,
  kForeignResponses,
  // A body without a length: of a success, of a success that nobody vouches
  // for,
  // of an error, of a refusal.
  kBody,
  kUnsealedBody,
  kErrorBody,
  kRefusalBody,
  kLongLength,
  // Chunked bodies.
  kChunkLine,
  kChunkSize,
  kChunkExtensions,
  kTinyChunks,
  kTrailerFields,
  kTrailerLine,
  // Streams: an event, comments and the same event without end.
  kEvent,
  kComments,
  kRepeatedEvent,
  // Bytes behind a complete response.
  kBehindResponse,
};

// Answers every request with a flood, as fast as its client takes it, until
// that closes the connection.
class EndlessServer {
 public:
  // `id` is the attempt id of the requests.
  EndlessServer(event_loop::EventLoop& loop,
                Flood flood,
                const std::string& id);
  ~EndlessServer();
  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;

  std::string address() const;
  size_t requests() const { return requests_; }
  // Number of connections that are open.
  size_t connected() const;

 private:
  class Connection;

  event_loop::EventLoop& loop_;
  std::string begin_;
  std::string repeated_;
  size_t requests_ = 0;
  std::vector<std::unique_ptr<Connection>> connections_;
  std::unique_ptr<stream_socket::Listener> listener_;
};

}  // namespace wagtailshore::crowd

#endif  // CROWD_ENDLESS_SERVER_H_
