#include "transport/stream_socket/connect_probe.h"

#include <utility>

namespace wagtailshore::stream_socket {

ConnectProbe::ConnectProbe(event_loop::EventLoop& loop,
                           const std::string& address,
                           common::Duration timeout,
                           std::function<void(bool accepted)> done)
    : done_(std::move(done)),
      socket_(loop, address, *this, {.connect_timeout = timeout}) {}

void ConnectProbe::OnConnected() {
  socket_.Close();
  done_(true);
}

void ConnectProbe::OnClosed(CloseReason) {
  done_(false);
}

}  // namespace wagtailshore::stream_socket
