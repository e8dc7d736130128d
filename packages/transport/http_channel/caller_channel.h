#ifndef TRANSPORT_HTTP_CHANNEL_CALLER_CHANNEL_H_
#define TRANSPORT_HTTP_CHANNEL_CALLER_CHANNEL_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "protocol/http1/message_reader.h"
#include "protocol/http1/serialize.h"
#include "transport/stream_socket/stream_socket.h"

// HTTP/1.1 connections on an event loop.
namespace wagtailshore::http_channel {

class CallerChannel;

// Serves the requests of caller connections.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  // A whole request came. It is answered through the channel, now or later; the
  // next one is not read before.
  virtual void OnRequest(CallerChannel& channel,
                         const http1::RequestHead& head,
                         std::string body) = 0;
  // The caller went away before its answer was complete; the channel must not
  // be used for that answer any more.
  virtual void OnCallerGone(CallerChannel& channel) = 0;
};

struct CallerChannelOptions {
  size_t max_header_bytes = 16UL * 1024;
  uint64_t max_body_bytes = 4UL * 1024 * 1024;
  common::Duration header_timeout = common::seconds(3);
  common::Duration idle_timeout = common::seconds(15);
};

// One caller's connection: reads a request at a time and writes its answer.
class CallerChannel final : public stream_socket::StreamHandler {
 public:
  // Called once, when the channel has closed; from within callbacks.
  using OnChannelClosed = std::function<void(CallerChannel&)>;

  CallerChannel(event_loop::EventLoop& loop,
                int descriptor,
                RequestHandler& handler,
                const CallerChannelOptions& options,
                OnChannelClosed on_closed);
  ~CallerChannel() override;
  CallerChannel(const CallerChannel&) = delete;
  CallerChannel& operator=(const CallerChannel&) = delete;

  // A whole answer.
  void Respond(int status,
               const http1::Headers& headers,
               std::string_view body);
  // An answer in pieces.
  void BeginStream(int status, const http1::Headers& headers);
  void WriteStream(std::string_view data);
  void EndStream();
  // Ends an answer so that it cannot be taken for a complete one.
  void Break();

  // Closes after the answer in progress, or at once when there is none and
  // nothing of a request has been read.
  void CloseWhenIdle();
  // Whether a request waits for its answer.
  bool busy() const {
    return state_ == State::kAnswering || state_ == State::kStreaming;
  }
  // Bytes of the answer that the caller has not taken yet.
  size_t unsent() const { return socket_.unsent(); }

  void OnData() override;
  void OnClosed(stream_socket::CloseReason reason) override;

 private:
  enum class State { kReading, kAnswering, kStreaming, kClosing };

  http1::Persistence NextPersistence();
  void ReadRequest();
  void Refuse(http1::ReadError error);
  void FinishAnswer();
  void ArmTimer();
  void OnTimer();

  event_loop::EventLoop& loop_;
  RequestHandler& handler_;
  OnChannelClosed on_closed_;
  CallerChannelOptions options_;
  stream_socket::StreamSocket socket_;
  State state_ = State::kReading;
  http1::RequestReader reader_;
  std::string body_;
  bool keep_alive_ = true;
  bool chunks_allowed_ = true;
  bool close_requested_ = false;
  bool head_request_ = false;
  bool chunked_ = false;
  // Some of a request was read.
  bool request_begun_ = false;
  bool in_read_ = false;
  event_loop::TimerId timer_ = event_loop::kNoTimer;
};

}  // namespace wagtailshore::http_channel

#endif  // TRANSPORT_HTTP_CHANNEL_CALLER_CHANNEL_H_
