#ifndef TRANSPORT_HTTP_CHANNEL_CALLER_CHANNEL_H_
#define TRANSPORT_HTTP_CHANNEL_CALLER_CHANNEL_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "protocol/http1/message_reader.h"
#include "protocol/http1/serialize.h"
#include "transport/http_channel/channel_limiter.h"
#include "transport/stream_socket/stream_socket.h"

// HTTP/1.1 connections on an event loop.
namespace wagtailshore::http_channel {

class CallerChannel;

// Handles the requests that arrive on caller connections.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  // Called with each complete request. The response is written through
  // `channel`, during this call or later; the next request is not read until
  // that response is complete.
  virtual void OnRequest(CallerChannel& channel,
                         const http1::RequestHead& head,
                         std::string body) = 0;
  // Called when the connection closes before the response is complete. Nothing
  // more of that response may be written to `channel`.
  virtual void OnCallerGone(CallerChannel& channel) = 0;
  // Headers of the 503 by which the channel refuses a request that it has no
  // room for; nothing of it was passed on. `head` is null if the request's head
  // is not complete.
  virtual http1::Headers RefusalHeaders(const http1::RequestHead* head);
};

struct CallerChannelOptions {
  size_t max_header_bytes = 16UL * 1024;
  uint64_t max_body_bytes = 4UL * 1024 * 1024;
  // Time in which a request's head must arrive, from its first byte.
  common::Duration header_timeout = common::seconds(3);
  // Time that a connection may stay open without a request, and without new
  // data while a request body arrives.
  common::Duration idle_timeout = common::seconds(15);
};

// One caller's connection. Reads one request at a time and writes its response.
// All that it holds for its caller is counted by the limiter; a request that
// exceeds the budget is refused before anything of it is passed on.
class CallerChannel final : public stream_socket::StreamHandler,
                            public LimitedChannel {
 public:
  // Called once, when the channel has closed. The call can come from within one
  // of the channel's callbacks, so the channel must not be destroyed in it.
  using OnChannelClosed = std::function<void(CallerChannel&)>;

  CallerChannel(event_loop::EventLoop& loop,
                int descriptor,
                RequestHandler& handler,
                ChannelLimiter& limiter,
                client_budget::ClientId client,
                const CallerChannelOptions& options,
                OnChannelClosed on_closed);
  ~CallerChannel() override;
  CallerChannel(const CallerChannel&) = delete;
  CallerChannel& operator=(const CallerChannel&) = delete;

  // Writes a complete response.
  void Respond(int status,
               const http1::Headers& headers,
               std::string_view body);
  // Write a response in pieces: the head, any number of body parts, the end.
  // WriteStream() returns false if the budget has no room for what the caller
  // has not read; the response can only be broken off then.
  void BeginStream(int status, const http1::Headers& headers);
  bool WriteStream(std::string_view data);
  void EndStream();
  // Resets the connection, so that the caller cannot mistake a partial response
  // for a complete one.
  void Break();
  // Sets how much memory the handler takes for the response before it writes
  // it, until the response is complete. Returns false if the budget is
  // exhausted.
  bool ReserveForAnswer(size_t bytes);

  // Closes after the response in progress, or immediately when there is none
  // and no part of a request has been read.
  void CloseWhenIdle();
  // Whether a request is waiting for its response or for the rest of it.
  bool busy() const {
    return state_ == State::kAnswering || state_ == State::kStreaming;
  }
  // Whether the caller has left. To be called before work is started for it, as
  // its close may be read later than its request;
  // RequestHandler::OnCallerGone() was then called.
  bool CloseIfCallerLeft() { return socket_.FailIfPeerClosed(); }
  // Bytes of the response that are not yet handed to the kernel.
  size_t unsent() const { return socket_.unsent(); }

  void OnData() override;
  void OnFlushed() override;
  void OnSendProgress() override;
  void OnClosed(stream_socket::CloseReason reason) override;

  void Evict() override;
  void CloseForNewClient() override;

 private:
  enum class State { kReading, kAnswering, kStreaming, kClosing };

  http1::Persistence NextPersistence();
  void ReadRequest();
  // Reads what has arrived of a request. Returns whether to continue.
  bool ReadSome();
  // Makes room for the body that the head announces.
  bool ReserveBody();
  bool AppendBody(std::string_view data);
  // Reads on while a request is answered, as its caller's close is only found
  // behind what it has sent, but no further than there is room.
  void ReadAhead();
  // Passes the request that has arrived to the handler.
  void HandOver();
  void Refuse(http1::ReadError error);
  // Refuses the request that arrives with 503, and drops it.
  void RefuseForRoom();
  void Reject(int status, const http1::Headers& headers);
  size_t HeldBytes() const;
  // Reserves what the channel holds, and `more`. Returns false if the budget is
  // exhausted.
  bool Reserve(size_t more = 0);
  void SetPhase(client_budget::Phase phase);
  // The connection is closed or about to be.
  void Unregister();
  void FinishResponse();
  void ArmTimer();
  void OnTimer();

  event_loop::EventLoop& loop_;
  RequestHandler& handler_;
  ChannelLimiter& limiter_;
  client_budget::ClientId client_;
  OnChannelClosed on_closed_;
  CallerChannelOptions options_;
  stream_socket::StreamSocket socket_;
  State state_ = State::kReading;
  http1::RequestReader reader_;
  std::string body_;
  // Memory of the request that was handed over, and of the handler for its
  // response.
  size_t request_bytes_ = 0;
  size_t answer_bytes_ = 0;
  // What the limiter has counted.
  size_t reserved_bytes_ = 0;
  // Unsent bytes when the caller last made progress with reading a response.
  size_t unsent_at_progress_ = 0;
  bool registered_ = true;
  bool keep_alive_ = true;
  bool chunks_allowed_ = true;
  bool close_requested_ = false;
  bool head_request_ = false;
  bool chunked_ = false;
  // Whether part of the next request has been read.
  bool request_begun_ = false;
  // Whether ReadRequest() is running.
  bool reading_request_ = false;
  event_loop::TimerId timer_ = event_loop::kNoTimer;
};

}  // namespace wagtailshore::http_channel

#endif  // TRANSPORT_HTTP_CHANNEL_CALLER_CHANNEL_H_
