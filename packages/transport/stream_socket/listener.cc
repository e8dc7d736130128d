#include "transport/stream_socket/listener.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

#include "common/event_log.h"
#include "common/strings.h"
#include "transport/stream_socket/address.h"

namespace wagtailshore::stream_socket {
namespace {

// Limit on connections that wait to be accepted; the kernel's default maximum.
constexpr int kBacklog = 4096;
// Limit on connections accepted per event, so that other descriptors are not
// starved.
constexpr int kAcceptsPerWake = 64;

constexpr common::Duration kAcceptPause = common::milliseconds(200);

absl::Status SystemError(const std::string& what) {
  return absl::UnavailableError(
      common::StrCat(what, ": ", std::strerror(errno)));
}

}  // namespace

absl::StatusOr<std::unique_ptr<Listener>> Listener::Open(
    event_loop::EventLoop& loop,
    const std::string& address,
    OnAccept accept) {
  const auto parsed = ParseAddress(address);
  if (!parsed.has_value()) {
    return absl::InvalidArgumentError(
        common::StrCat(address, " is not IP:port"));
  }
  const int descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return SystemError("socket");
  }
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (bind(descriptor, reinterpret_cast<const sockaddr*>(&*parsed),
           sizeof(*parsed)) != 0 ||
      listen(descriptor, kBacklog) != 0) {
    absl::Status failed = SystemError(common::StrCat("listen on ", address));
    close(descriptor);
    return failed;
  }
  return std::unique_ptr<Listener>(
      new Listener(loop, descriptor, std::move(accept)));
}

Listener::Listener(event_loop::EventLoop& loop, int descriptor, OnAccept accept)
    : loop_(loop), descriptor_(descriptor), accept_(std::move(accept)) {
  loop_.Watch(descriptor_, this, {.readable = true});
}

Listener::~Listener() {
  loop_.Cancel(pause_timer_);
  loop_.Unwatch(descriptor_);
  close(descriptor_);
}

uint16_t Listener::port() const {
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &length);
  return ntohs(address.sin_port);
}

void Listener::OnReadable() {
  for (int i = 0; i < kAcceptsPerWake; ++i) {
    const int accepted =
        accept4(descriptor_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted < 0) {
      if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS ||
          errno == ENOMEM) {
        Pause(errno);
      }
      return;
    }
    accept_(accepted);
  }
}

void Listener::Pause(int error) {
  common::LogEvent(
      common::EventId::kCannotAccept,
      common::StrCat("port=", port(), " error=", std::strerror(error)));
  // The descriptor stays readable, so the loop would not rest otherwise.
  loop_.Watch(descriptor_, this, {});
  pause_timer_ = loop_.RunAfter(kAcceptPause, [this] {
    pause_timer_ = event_loop::kNoTimer;
    loop_.Watch(descriptor_, this, {.readable = true});
  });
}

}  // namespace wagtailshore::stream_socket
