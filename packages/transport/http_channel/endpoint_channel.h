#ifndef TRANSPORT_HTTP_CHANNEL_ENDPOINT_CHANNEL_H_
#define TRANSPORT_HTTP_CHANNEL_ENDPOINT_CHANNEL_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "protocol/http1/message_reader.h"
#include "transport/stream_socket/stream_socket.h"

namespace wagtailshore::http_channel {

// Why an exchange got no complete response.
struct ExchangeFailure {
  // Whether it is certain that no byte of the request reached the endpoint.
  bool nothing_sent = false;
  // Whether the connection was closed by CloseSilent().
  bool silent = false;
  // Whether the endpoint sent bytes that are no response, or that exceed a
  // limit of EndpointChannel.
  bool bad_response = false;
  // Short reason for logs, usually one word.
  std::string detail;
};

// Which exchange a response belongs to.
enum class ResponseOrigin {
  kThisExchange,
  // Left over from an earlier exchange; it is read and discarded.
  kEarlierExchange,
};

// Receives the events of one exchange. OnComplete() or OnFailed() is the last
// call.
class ExchangeListener {
 public:
  virtual ~ExchangeListener() = default;
  // Called before the request is written on a connection that had to be opened
  // for it. Returns false if the request is no longer wanted; the listener has
  // abandoned the exchange then.
  virtual bool OnReadyToSend() { return true; }
  // Called with the head of each final response (status 200 or above).
  virtual ResponseOrigin OnHead(const http1::ResponseHead& head) = 0;
  virtual void OnBody(std::string_view data) = 0;
  virtual void OnComplete() = 0;
  virtual void OnFailed(const ExchangeFailure& failure) = 0;
};

// A connection to an endpoint that carries one exchange at a time.
class EndpointChannel final : public stream_socket::StreamHandler {
 public:
  // A large body is handed to the socket in pieces of this size.
  static constexpr size_t kPieceBytes = 64UL * 1024;
  // Size of the kernel's buffer for sending.
  static constexpr int kKernelSendBytes = 128 * 1024;

  // Limits on what an endpoint can make this process hold or read beside the
  // body of a response, which the listener limits. An exchange that exceeds one
  // fails.
  //
  // Input that is not complete enough to be read: a head, a chunk's line or a
  // trailer, in bytes.
  static constexpr size_t kMaxPendingBytes = 16UL * 1024;
  // All input that is held, in bytes: the above and what one read adds.
  static constexpr size_t kMaxInputBytes =
      kMaxPendingBytes + stream_socket::kReadBytes;
  // Bytes of a response that belong neither to its head nor to its body: this
  // many, and so many for each byte of the body.
  static constexpr uint64_t kMaxFramingBytes = 64UL * 1024;
  static constexpr uint64_t kMaxFramingPerBodyByte = 8;
  // Interim responses (status 100 to 199) before the final one.
  static constexpr int kMaxInterimResponses = 16;
  // Responses of earlier exchanges that are discarded, and their bytes.
  static constexpr int kMaxDiscardedResponses = 16;
  static constexpr uint64_t kMaxDiscardedBytes = 1024UL * 1024;

  // Called when the channel has closed and when it becomes idle. The call can
  // come from within one of the channel's callbacks, so the channel must not be
  // destroyed in it.
  using OnStateChange = std::function<void(EndpointChannel&)>;

  EndpointChannel(event_loop::EventLoop& loop,
                  const std::string& address,
                  const stream_socket::StreamOptions& options,
                  OnStateChange on_state_change);
  ~EndpointChannel() override = default;

  // Starts an exchange; the channel must be idle. `without_body` is set when
  // the response has no body, as for HEAD. `body` is sent after `request` and
  // not copied, so it must stay valid until the exchange has ended.
  void Send(std::string_view request,
            ExchangeListener& listener,
            bool without_body,
            std::string_view body = {});
  // Cancels the exchange and resets the connection. The listener is not called
  // any more.
  void Abandon();
  // Resets the connection because nothing arrives on it any more. The exchange
  // in progress fails.
  void CloseSilent();
  // Sets how long the endpoint keeps an idle connection open. Without a value,
  // a short default applies.
  void SetIdleLimit(std::optional<common::Duration> limit) {
    idle_limit_ = limit;
  }

  bool idle() const { return open_ && listener_ == nullptr; }
  bool open() const { return open_; }
  bool connected() const { return socket_.connected(); }
  // Whether the endpoint may have received anything on this connection.
  bool sent_any() const { return socket_.sent_any(); }
  // Whether the connection is idle and within its idle limit, so that it can
  // carry another exchange.
  bool IsReusable(common::Time now) const;
  // Time at which the connection was opened or last received anything.
  common::Time heard_at() const { return heard_at_; }

  void OnConnected() override;
  void OnData() override;
  void OnFlushed() override { SendBody(); }
  void OnClosed(stream_socket::CloseReason reason) override;

 private:
  // Returns whether to continue reading from the connection.
  bool OnProgress(const http1::Progress& progress);
  bool OnResponseHead();
  // Counts what was read and fails the exchange beyond a limit. Returns whether
  // to continue.
  bool CheckLimits(const http1::Progress& progress);
  void FailBadResponse(std::string_view detail);
  void Fail(const ExchangeFailure& failure);
  void Finish(bool reusable);
  void ResetReader();
  // Writes the request's head, with its body if that is small.
  void SendRequest(std::string_view request);
  // Writes as much of the body as the socket takes without keeping it.
  void SendBody();

  event_loop::EventLoop& loop_;
  stream_socket::StreamSocket socket_;
  OnStateChange on_state_change_;
  bool open_ = true;
  ExchangeListener* listener_ = nullptr;
  // The request while the connection is being opened.
  std::string waiting_request_;
  // The part of the request's body that is not written yet.
  std::string_view body_rest_;
  http1::ResponseReader reader_;
  bool without_body_ = false;
  ResponseOrigin response_origin_ = ResponseOrigin::kThisExchange;
  // Of the response that is read: bytes of its body and of its framing.
  uint64_t body_bytes_ = 0;
  uint64_t framing_bytes_ = 0;
  // Of the exchange.
  int interim_responses_ = 0;
  int discarded_responses_ = 0;
  uint64_t discarded_bytes_ = 0;
  std::optional<common::Duration> idle_limit_;
  common::Time idle_since_{};
  common::Time heard_at_;
};

}  // namespace wagtailshore::http_channel

#endif  // TRANSPORT_HTTP_CHANNEL_ENDPOINT_CHANNEL_H_
