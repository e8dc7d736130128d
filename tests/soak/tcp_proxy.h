#ifndef SOAK_TCP_PROXY_H_
#define SOAK_TCP_PROXY_H_

#include <memory>
#include <string>
#include <vector>

#include "support/port_reservation.h"
#include "transport/event_loop/event_loop.h"
#include "transport/stream_socket/listener.h"
#include "transport/stream_socket/stream_socket.h"

namespace wagtailshore::soak {

// A fault that a proxy applies to its connections.
enum class LinkFault {
  kNone,
  // Data is delayed.
  kDelay,
  // Open connections are reset; new connections are reset when they send data.
  kReset,
  // No data is forwarded from the client to the server.
  kCutToServer,
  // No data is forwarded from the server to the client.
  kCutToClient,
  // Open connections stop forwarding data permanently; new connections work.
  kSilenceOpen,
};

// Forwards TCP connections to one address, with fault injection.
class TcpProxy {
 public:
  TcpProxy(event_loop::EventLoop& loop, std::string target);
  ~TcpProxy();

  std::string address() const;
  void SetFault(LinkFault fault);
  LinkFault fault() const { return fault_; }
  // Resets every connection and refuses new ones from now on.
  void Stop();

 private:
  class Link;

  event_loop::EventLoop& loop_;
  std::string target_;
  LinkFault fault_ = LinkFault::kNone;
  std::unique_ptr<stream_socket::Listener> listener_;
  // Null until Stop().
  std::unique_ptr<PortReservation> reservation_;
  std::vector<std::unique_ptr<Link>> links_;
};

}  // namespace wagtailshore::soak

#endif  // SOAK_TCP_PROXY_H_
