#ifndef TRANSPORT_HTTP_CHANNEL_ENDPOINT_CHANNEL_H_
#define TRANSPORT_HTTP_CHANNEL_ENDPOINT_CHANNEL_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "protocol/http1/message_reader.h"
#include "transport/stream_socket/stream_socket.h"

namespace wagtailshore::http_channel {

// Why an exchange got no whole answer.
struct ExchangeFailure {
  // No byte of the request can have reached the peer.
  bool nothing_sent = false;
  // One word, for logs.
  std::string detail;
};

// Whose answer a response is.
enum class Ownership {
  kOurs,
  // Left over from an earlier exchange; it is read and dropped.
  kForeign,
};

// Told how one exchange goes. After OnComplete() or OnFailed() it hears no
// more.
class ExchangeListener {
 public:
  virtual ~ExchangeListener() = default;
  virtual Ownership OnHead(const http1::ResponseHead& head) = 0;
  virtual void OnBody(std::string_view data) = 0;
  virtual void OnComplete() = 0;
  virtual void OnFailed(const ExchangeFailure& failure) = 0;
};

// A connection to an endpoint that carries one exchange after another.
class EndpointChannel final : public stream_socket::StreamHandler {
 public:
  // Called when the channel can take no exchange any more, or when it became
  // idle; from within callbacks.
  using OnState = std::function<void(EndpointChannel&)>;

  EndpointChannel(event_loop::EventLoop& loop,
                  const std::string& address,
                  const stream_socket::StreamOptions& options,
                  OnState on_state);
  ~EndpointChannel() override = default;

  // Starts an exchange; there must be none. `without_body` tells that the
  // answer has none, as for HEAD.
  void Send(std::string_view request,
            ExchangeListener& listener,
            bool without_body);
  // Gives the exchange up and closes the connection. The listener hears no
  // more.
  void Abandon();
  // The connection must not be used after `when`.
  void SetIdleLimit(std::optional<common::Duration> limit) {
    idle_limit_ = limit;
  }

  bool idle() const { return open_ && listener_ == nullptr; }
  bool open() const { return open_; }
  // Whether an idle connection is young enough for another exchange.
  bool IsFresh(common::Time now) const;

  void OnData() override;
  void OnClosed(stream_socket::CloseReason reason) override;

 private:
  // Returns whether the connection can go on.
  bool OnProgress(const http1::Progress& progress);
  void Fail(bool nothing_sent, std::string detail);
  void Finish(bool reusable);
  void NewReader();

  event_loop::EventLoop& loop_;
  stream_socket::StreamSocket socket_;
  OnState on_state_;
  bool open_ = true;
  ExchangeListener* listener_ = nullptr;
  http1::ResponseReader reader_;
  bool without_body_ = false;
  Ownership ownership_ = Ownership::kOurs;
  std::optional<common::Duration> idle_limit_;
  common::Time idle_since_{};
};

}  // namespace wagtailshore::http_channel

#endif  // TRANSPORT_HTTP_CHANNEL_ENDPOINT_CHANNEL_H_
