#ifndef TRANSPORT_HTTP_CHANNEL_HTTP_CALL_H_
#define TRANSPORT_HTTP_CHANNEL_HTTP_CALL_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
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
// "not_connected". Aborted when the connection of a long poll went silent,
// which says nothing about the server. ResourceExhausted when the response is
// larger than allowed, or no memory is left for it.
using CallResult = absl::StatusOr<CallAnswer>;

// A complete request, without its framing.
struct Call {
  std::string method;
  // Path and query.
  std::string target;
  std::string body;
  // How long the server may hold its answer back, as in a long poll.
  common::Duration wait = {};
  // The call fails when the body of the answer is longer.
  size_t max_answer_bytes = size_t{1} << 20;
};

struct HttpCallerOptions {
  // For the bodies of all answers that are being received, in bytes. When they
  // exceed it, the call with the longest fails.
  size_t max_held_bytes = size_t{16} << 20;
};

// Makes calls with a timeout over pooled connections.
//
// A connection may go silent without being closed, which says nothing about the
// server. A GET that fails on a reused connection, or gets no byte of an answer
// there within kSilenceLimit, is therefore repeated on a new one, with its
// whole timeout. Long polls end instead, as their caller may want a current
// answer first, and so do calls that the server may have executed. Once a
// connection has proved silent, all others to its address from which nothing
// arrived since are closed with it. At the first answer of a server that had
// left calls unanswered, so are those from which nothing arrived since the
// answered call was sent: the server may have lost the calls on them.
class HttpCaller {
 public:
  // A server that has an answer begins to send it within this time, also when
  // it is slow.
  static constexpr common::Duration kSilenceLimit = common::milliseconds(400);

  HttpCaller(event_loop::EventLoop& loop,
             EndpointPool& pool,
             const HttpCallerOptions& options = {});
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
  // Makes room for `more` bytes of a body; the call with the longest one fails
  // if there is none.
  void Hold(size_t more);
  void FailTooLarge(uint64_t id);
  // Closes the connections to `address` from which nothing arrived since
  // `since`, and logs it with `fields`.
  void CloseSilent(const std::string& address,
                   common::Time since,
                   const std::string& fields);

  event_loop::EventLoop& loop_;
  EndpointPool& pool_;
  HttpCallerOptions options_;
  // Bytes of all bodies that are being received.
  size_t held_bytes_ = 0;
  std::map<uint64_t, std::unique_ptr<Exchange>> exchanges_;
  uint64_t next_id_ = 1;
  // Addresses at which a call on a new connection got no answer in time since
  // the last answer.
  std::set<std::string> unanswered_;
};

}  // namespace wagtailshore::http_channel

#endif  // TRANSPORT_HTTP_CHANNEL_HTTP_CALL_H_
