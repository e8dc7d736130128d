#ifndef SOAK_TCP_PROXY_H_
#define SOAK_TCP_PROXY_H_

#include <memory>
#include <string>
#include <vector>

#include "transport/event_loop/event_loop.h"
#include "transport/stream_socket/listener.h"
#include "transport/stream_socket/stream_socket.h"

namespace wagtailshore::soak {

// What a proxy does to the connections through it.
enum class LinkFault {
  kNone,
  // Bytes arrive later.
  kDelay,
  // Open connections are reset, and new ones as soon as they send.
  kReset,
  // Nothing passes from the client to the server, or back.
  kCutForth,
  kCutBack,
  // Open connections never carry anything again; new ones work.
  kSilenceOpen,
};

// Passes TCP connections on to one address, with faults.
class TcpProxy {
 public:
  TcpProxy(event_loop::EventLoop& loop, std::string target);
  ~TcpProxy();

  std::string address() const;
  void SetFault(LinkFault fault);

 private:
  class Link;

  event_loop::EventLoop& loop_;
  std::string target_;
  LinkFault fault_ = LinkFault::kNone;
  std::unique_ptr<stream_socket::Listener> listener_;
  std::vector<std::unique_ptr<Link>> links_;
};

}  // namespace wagtailshore::soak

#endif  // SOAK_TCP_PROXY_H_
