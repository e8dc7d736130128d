#ifndef TRANSPORT_STREAM_SOCKET_CONNECT_PROBE_H_
#define TRANSPORT_STREAM_SOCKET_CONNECT_PROBE_H_

#include <functional>
#include <string>

#include "transport/stream_socket/stream_socket.h"

namespace wagtailshore::stream_socket {

// Finds out whether a process accepts connections at an address, by opening one
// and closing it again.
class ConnectProbe final : public StreamHandler {
 public:
  // Calls `done` once, never before the constructor returns. `done` must not
  // destroy the probe directly, but can do so through EventLoop::Post().
  ConnectProbe(event_loop::EventLoop& loop,
               const std::string& address,
               common::Duration timeout,
               std::function<void(bool accepted)> done);

  void OnConnected() override;
  void OnData() override {}
  void OnClosed(CloseReason reason) override;

 private:
  std::function<void(bool accepted)> done_;
  StreamSocket socket_;
};

}  // namespace wagtailshore::stream_socket

#endif  // TRANSPORT_STREAM_SOCKET_CONNECT_PROBE_H_
