#ifndef TRANSPORT_HTTP_CHANNEL_CHANNEL_SERVER_H_
#define TRANSPORT_HTTP_CHANNEL_CHANNEL_SERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "transport/http_channel/caller_channel.h"
#include "transport/stream_socket/listener.h"

namespace wagtailshore::http_channel {

// Listens on one or more addresses and owns the accepted connections. Passes
// requests to the handler, which must outlive the server, as must the limiter.
class ChannelServer {
 public:
  // Makes the options of a new connection, because the limits can change at run
  // time.
  using OptionsSource = std::function<CallerChannelOptions()>;

  ChannelServer(
      event_loop::EventLoop& loop,
      RequestHandler& handler,
      ChannelLimiter& limiter,
      OptionsSource options = [] { return CallerChannelOptions{}; });
  ChannelServer(const ChannelServer&) = delete;
  ChannelServer& operator=(const ChannelServer&) = delete;

  // Starts to listen on one more address, "IP:port"; fails when it cannot be
  // bound.
  absl::Status Listen(const std::string& address);
  // The port of the first address. Requires a successful Listen().
  uint16_t port() const { return listeners_.front()->port(); }
  // Closes the listening sockets. Connections that were not accepted are reset.
  void StopListening() { listeners_.clear(); }
  // Closes every connection after the response in progress on it, if any.
  void CloseWhenIdle();

  // Number of open connections.
  size_t size() const { return channels_.size(); }

 private:
  void Accept(int descriptor);

  event_loop::EventLoop& loop_;
  RequestHandler& handler_;
  ChannelLimiter& limiter_;
  OptionsSource options_;
  std::vector<std::unique_ptr<stream_socket::Listener>> listeners_;
  std::map<CallerChannel*, std::unique_ptr<CallerChannel>> channels_;
};

}  // namespace wagtailshore::http_channel

#endif  // TRANSPORT_HTTP_CHANNEL_CHANNEL_SERVER_H_
