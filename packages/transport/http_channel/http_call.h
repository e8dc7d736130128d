#ifndef TRANSPORT_HTTP_CHANNEL_HTTP_CALL_H_
#define TRANSPORT_HTTP_CHANNEL_HTTP_CALL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "protocol/http1/headers.h"
#include "transport/http_channel/endpoint_pool.h"

namespace wagtailshore::http_channel {

// The response to a call.
struct CallAnswer {
  int status = 0;
  std::string body;
  http1::Headers headers = {};
};

// Unavailable when the connection failed and DeadlineExceeded after the
// timeout; the call may have been executed in both cases, unless the message is
// "not_connected". ResourceExhausted when the response is too large.
using CallResult = absl::StatusOr<CallAnswer>;

// A complete request, without its framing.
struct Call {
  std::string method;
  // Path and query.
  std::string target;
  std::string body;
};

// Makes calls with a timeout over pooled connections.
class HttpCaller {
 public:
  HttpCaller(event_loop::EventLoop& loop, EndpointPool& pool);
  ~HttpCaller();
  HttpCaller(const HttpCaller&) = delete;
  HttpCaller& operator=(const HttpCaller&) = delete;

  // Sends `call` to the server at `address`, "IP:port". Calls `done` once, and
  // never before this method returns.
  void Start(const std::string& address,
             const Call& call,
             common::Duration timeout,
             std::function<void(CallResult)> done);

 private:
  class Exchange;

  void End(uint64_t id, CallResult result);

  event_loop::EventLoop& loop_;
  EndpointPool& pool_;
  std::map<uint64_t, std::unique_ptr<Exchange>> exchanges_;
  uint64_t next_id_ = 1;
};

}  // namespace wagtailshore::http_channel

#endif  // TRANSPORT_HTTP_CHANNEL_HTTP_CALL_H_
