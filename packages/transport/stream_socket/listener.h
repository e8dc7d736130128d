#ifndef TRANSPORT_STREAM_SOCKET_LISTENER_H_
#define TRANSPORT_STREAM_SOCKET_LISTENER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "transport/event_loop/event_loop.h"

namespace wagtailshore::stream_socket {

// Accepts TCP connections on one address.
class Listener final : public event_loop::Watcher {
 public:
  // Called with each accepted, non-blocking descriptor and takes ownership of
  // it.
  using OnAccept = std::function<void(int descriptor)>;

  // InvalidArgument when `address` is not "IP:port", Unavailable when it cannot
  // be bound.
  static absl::StatusOr<std::unique_ptr<Listener>> Open(
      event_loop::EventLoop& loop,
      const std::string& address,
      OnAccept accept);
  ~Listener() override;
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  // The port that the listener is bound to, also when the kernel chose it.
  uint16_t port() const;

  void OnReadable() override;
  void OnWritable() override {}

 private:
  Listener(event_loop::EventLoop& loop, int descriptor, OnAccept accept);

  // Waits before it accepts again, as the process has no descriptor left.
  void Pause(int error);

  event_loop::EventLoop& loop_;
  int descriptor_;
  OnAccept accept_;
  event_loop::TimerId pause_timer_ = event_loop::kNoTimer;
};

}  // namespace wagtailshore::stream_socket

#endif  // TRANSPORT_STREAM_SOCKET_LISTENER_H_
