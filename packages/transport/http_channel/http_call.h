#ifndef TRANSPORT_HTTP_CHANNEL_HTTP_CALL_H_
#define TRANSPORT_HTTP_CHANNEL_HTTP_CALL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "transport/http_channel/endpoint_pool.h"

namespace wagtailshore::http_channel {

struct CallAnswer {
  int status = 0;
  std::string body;
};

// Fails with Unavailable when no answer came; the call may have been carried
// out then, unless the message tells that nothing was sent.
using CallResult = absl::StatusOr<CallAnswer>;

// A whole request to a peer, without its framing.
struct Call {
  std::string method;
  // Path and query.
  std::string target;
  std::string body;
};

// Makes calls with a time limit over kept connections.
class HttpCaller {
 public:
  HttpCaller(event_loop::EventLoop& loop, EndpointPool& pool);
  ~HttpCaller();
  HttpCaller(const HttpCaller&) = delete;
  HttpCaller& operator=(const HttpCaller&) = delete;

  // Calls the peer at "IP:port"; `done` is called once, never before this
  // returns.
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
