#ifndef TRANSPORT_HTTP_SERVER_HTTP_SERVER_H_
#define TRANSPORT_HTTP_SERVER_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "common/time.h"
#include "transport/http_server/connection_limiter.h"

// An HTTP server with one thread per connection and limits on the size and
// duration of everything that a client sends.
namespace wagtailshore::http_server {

struct Request {
  std::string method;
  std::string path;
  // Names in lower case.
  std::map<std::string, std::string> headers;
  // Arguments of the query string.
  std::map<std::string, std::string> arguments;
  std::string body;
};

using ResponseHeaders = std::vector<std::pair<std::string, std::string>>;

struct FullResponse {
  int status = 200;
  std::string content_type = "application/json";
  ResponseHeaders headers;
  std::string body;
};

struct BodyChunk {
  std::string bytes;
};
struct BodyEnd {};
// Closes the connection before the end of the body, so that the client cannot
// mistake it for complete.
struct BodyAbort {};
using BodyPart = std::variant<BodyChunk, BodyEnd, BodyAbort>;

// Produces a streamed body. Called on the connection's own thread and may
// block. Destroyed when the body has ended or the client has disconnected.
class BodySource {
 public:
  virtual ~BodySource() = default;
  virtual BodyPart Next() = 0;
};

struct StreamedResponse {
  int status = 200;
  std::string content_type;
  ResponseHeaders headers;
  std::unique_ptr<BodySource> source;
};

using Response = std::variant<FullResponse, StreamedResponse>;
// Called on the connection's own thread.
using Handler = std::function<Response(Request)>;

struct ServerOptions {
  // "IP:port"
  std::string address;
  // Limit on concurrent requests. Further ones are refused with 503 before
  // their body is read.
  uint32_t max_requests = 512;
  size_t max_body_bytes = size_t{4} << 20;
  // Limit on the header memory of one connection.
  size_t max_header_bytes = size_t{32} << 10;
  // A connection without any traffic for this long is closed. Rounded up to
  // whole seconds.
  common::Duration idle_timeout = common::seconds(30);
  // Limit on the time in which a request body must arrive completely. Guards
  // against clients that send slowly but steadily: their connection is closed.
  common::Duration body_timeout = common::seconds(30);
  // Response body for a request beyond `max_body_bytes` (status 413).
  std::string too_large_body;
  // Response body for a request beyond `max_requests`, or for which there is no
  // memory (status 503).
  std::string overloaded_body;
  // Counts what the connections hold; several servers may share it. Null for no
  // limit. Must outlive the server.
  ConnectionLimiter* limiter = nullptr;
};

class Server {
 public:
  // InvalidArgument when the address is not "IP:port", Unavailable when it
  // cannot be bound.
  static absl::StatusOr<std::unique_ptr<Server>> Start(ServerOptions options,
                                                       Handler handler);
  // Waits for the running handlers and streamed bodies to end.
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Stops accepting connections; open ones continue.
  void StopAccepting();

  // Waits until no request is in progress: each response was sent completely or
  // its client has disconnected.
  void WaitUntilIdle();

 private:
  class Impl;
  explicit Server(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace wagtailshore::http_server

#endif  // TRANSPORT_HTTP_SERVER_HTTP_SERVER_H_
