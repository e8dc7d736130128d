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

// Listens on addresses and owns the callers' connections that come in. Requests
// go to the handler, which must outlive the server.
class ChannelServer {
 public:
  // Asked for each new connection; what may be sent can change at run time.
  using OptionsSource = std::function<CallerChannelOptions()>;

  ChannelServer(
      event_loop::EventLoop& loop,
      RequestHandler& handler,
      OptionsSource options = [] { return CallerChannelOptions{}; });
  ChannelServer(const ChannelServer&) = delete;
  ChannelServer& operator=(const ChannelServer&) = delete;

  // Opens one more address; fails when it cannot be bound.
  absl::Status Listen(const std::string& address);
  // The port of the first address; only after Listen().
  uint16_t port() const { return listeners_.front()->port(); }
  // Connections that were not accepted are reset.
  void StopListening() { listeners_.clear(); }
  // Closes every connection after the answer that it waits for, if any.
  void CloseWhenIdle();

  // Connections that are open.
  size_t size() const { return channels_.size(); }

 private:
  void Accept(int descriptor);

  event_loop::EventLoop& loop_;
  RequestHandler& handler_;
  OptionsSource options_;
  std::vector<std::unique_ptr<stream_socket::Listener>> listeners_;
  std::map<CallerChannel*, std::unique_ptr<CallerChannel>> channels_;
};

}  // namespace wagtailshore::http_channel

#endif  // TRANSPORT_HTTP_CHANNEL_CHANNEL_SERVER_H_
