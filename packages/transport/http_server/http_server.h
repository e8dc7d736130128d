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

// An HTTP server with bounds on everything a client can send, one thread per
// connection.
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
// Breaks the connection, so that the client cannot take the body for whole.
struct BodyAbort {};
using BodyPart = std::variant<BodyChunk, BodyEnd, BodyAbort>;

// Produces a streamed body. Called on the connection's own thread and may
// block; destroyed when the body ended or the client went away.
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
  // Requests at once; one more is refused at its head with 503.
  uint32_t max_requests = 512;
  size_t max_body_bytes = size_t{4} << 20;
  // Bound on one connection's header memory, in bytes.
  size_t max_header_bytes = size_t{32} << 10;
  // A connection on which nothing moves for this long is closed.
  common::Duration idle_timeout = common::seconds(30);
  // A request whose body takes longer to arrive is dropped, however steadily
  // its bytes come.
  common::Duration body_timeout = common::seconds(30);
  // Body sent for a request beyond `max_body_bytes`.
  std::string too_large_body;
  // Body sent for a request beyond `max_requests`.
  std::string overloaded_body;
};

class Server {
 public:
  static absl::StatusOr<std::unique_ptr<Server>> Start(ServerOptions options,
                                                       Handler handler);
  // Waits for every handler and body that is running.
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Accepts no further connections; those that are open go on.
  void StopAccepting();

  // Waits until no request is under way: each response was handed to the
  // network in full, or its client went away.
  void WaitUntilIdle();

 private:
  class Impl;
  explicit Server(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace wagtailshore::http_server

#endif  // TRANSPORT_HTTP_SERVER_HTTP_SERVER_H_
