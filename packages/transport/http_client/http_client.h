#ifndef TRANSPORT_HTTP_CLIENT_HTTP_CLIENT_H_
#define TRANSPORT_HTTP_CLIENT_HTTP_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "common/time.h"

// HTTP exchanges, each on its own connection. A connection is never reused, so
// one that broke or stopped delivering data cannot affect the next exchange.
namespace wagtailshore::http_client {

struct Request {
  std::string method = "GET";
  std::string url;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  common::Duration connect_timeout = common::milliseconds(500);
  // Call() fails when the response body is longer.
  size_t max_reply_bytes = size_t{8} << 20;
};

struct Reply {
  int status = 0;
  std::string body;
  // Value of the Retry-After header, if there was one above zero.
  std::optional<common::Duration> retry_after;
};

// Bytes of the body, in order.
struct Data {
  std::string bytes;
};
// The whole body has arrived.
struct Finished {};
// Nothing arrived within the timeout. The exchange can be read again.
struct TimedOut {};
// The exchange failed.
struct Failed {
  // Whether the server may have received the request.
  bool sent = false;
  std::string reason;
};
using ReadOutcome = std::variant<Data, Finished, TimedOut, Failed>;

// One exchange whose response body is read in pieces. Destroying it before the
// end closes the connection.
class Exchange {
 public:
  explicit Exchange(Request request);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  // Waits up to `timeout` for the next bytes of the body.
  ReadOutcome Read(common::Duration timeout);

  // The status of the response; 0 until its head has arrived.
  int status() const;
  std::optional<common::Duration> retry_after() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Why Call() got no complete response.
struct CallFailure {
  // Whether the server may have received the request.
  bool sent = false;
  std::string reason;
};

// Performs a complete exchange within `timeout`.
std::variant<Reply, CallFailure> Call(Request request,
                                      common::Duration timeout);

// Must be called once, before any other thread uses this module.
// `max_held_bytes` bounds the memory for the bodies of all responses that are
// being received; a response that exceeds it fails unless it is small.
void InitializeLibrary(size_t max_held_bytes = SIZE_MAX);

}  // namespace wagtailshore::http_client

#endif  // TRANSPORT_HTTP_CLIENT_HTTP_CLIENT_H_
