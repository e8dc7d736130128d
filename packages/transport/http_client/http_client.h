#ifndef TRANSPORT_HTTP_CLIENT_HTTP_CLIENT_H_
#define TRANSPORT_HTTP_CLIENT_HTTP_CLIENT_H_

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "common/time.h"

// HTTP exchanges, each on a connection of its own: a connection whose exchange
// did not finish is never used again, and one that went silent cannot affect
// the next exchange.
namespace wagtailshore::http_client {

struct Request {
  std::string method = "GET";
  std::string url;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  common::Duration connect_timeout = common::milliseconds(500);
  // Call() fails on a longer body.
  size_t max_reply_bytes = size_t{64} << 20;
};

struct Reply {
  int status = 0;
  std::string body;
  // Milliseconds in the Retry-After header, if there was one.
  std::optional<common::Duration> retry_after;
};

// Bytes of the body, in order.
struct Data {
  std::string bytes;
};
// The whole body has arrived.
struct Finished {};
// Nothing arrived within the time given.
struct TimedOut {};
// The exchange cannot go on.
struct Failed {
  // Whether the server may have seen the request.
  bool sent = false;
  std::string reason;
};
using ReadOutcome = std::variant<Data, Finished, TimedOut, Failed>;

// One exchange whose body is read piece by piece. Closing it early closes the
// connection.
class Exchange {
 public:
  explicit Exchange(Request request);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  // Waits up to `timeout` for the next bytes of the body.
  ReadOutcome Read(common::Duration timeout);

  // The response's status; 0 until its head arrived.
  int status() const;
  std::optional<common::Duration> retry_after() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Why a whole exchange gave no reply.
struct CallFailure {
  // Whether the server may have seen the request.
  bool sent = false;
  std::string reason;
};

// Performs a whole exchange within `timeout`.
std::variant<Reply, CallFailure> Call(Request request,
                                      common::Duration timeout);

// Must run once, before any other thread uses this module.
void InitializeLibrary();

}  // namespace wagtailshore::http_client

#endif  // TRANSPORT_HTTP_CLIENT_HTTP_CLIENT_H_
