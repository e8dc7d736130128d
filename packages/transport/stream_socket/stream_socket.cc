#include "transport/stream_socket/stream_socket.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>

#include "transport/stream_socket/address.h"

namespace wagtailshore::stream_socket {
namespace {

// An empty buffer with more capacity than this is returned to the allocator.
constexpr size_t kMaxEmptyBufferBytes = 64UL * 1024;
// TCP keep-alive: seconds without traffic before the first probe, seconds
// between probes, and unanswered probes after which the connection is broken.
constexpr int kProbeIdleSeconds = 2;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kMaxUnansweredProbes = 2;
// Time between looks at a connection whose reading pauses.
constexpr common::Duration kPausedCheckPeriod = common::milliseconds(100);
// How long a peer may take to close after the last response.
constexpr common::Duration kLingerTimeout = common::seconds(1);

void SetIntOption(int descriptor, int level, int name, int value) {
  setsockopt(descriptor, level, name, &value, sizeof(value));
}

}  // namespace

StreamSocket::StreamSocket(event_loop::EventLoop& loop,
                           int descriptor,
                           StreamHandler& handler,
                           StreamOptions options)
    : loop_(loop),
      handler_(handler),
      options_(options),
      descriptor_(descriptor) {
  SetOptions();
  UpdateInterest();
}

StreamSocket::StreamSocket(event_loop::EventLoop& loop,
                           const std::string& address,
                           StreamHandler& handler,
                           StreamOptions options)
    : loop_(loop),
      handler_(handler),
      options_(options),
      state_(State::kConnecting) {
  const auto parsed = ParseAddress(address);
  descriptor_ =
      parsed.has_value()
          ? socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)
          : -1;
  if (descriptor_ < 0) {
    FailLater(CloseReason::kNotConnected);
    return;
  }
  SetOptions();
  const int result =
      connect(descriptor_, reinterpret_cast<const sockaddr*>(&*parsed),
              sizeof(*parsed));
  if (result != 0 && errno != EINPROGRESS) {
    FailLater(CloseReason::kNotConnected);
    return;
  }
  connect_timer_ = loop_.RunAfter(options_.connect_timeout, [this] {
    connect_timer_ = event_loop::kNoTimer;
    Fail(CloseReason::kNotConnected);
  });
  UpdateInterest();
}

StreamSocket::~StreamSocket() {
  Close();
}

void StreamSocket::SetOptions() {
  SetIntOption(descriptor_, IPPROTO_TCP, TCP_NODELAY, 1);
  SetIntOption(
      descriptor_, IPPROTO_TCP, TCP_USER_TIMEOUT,
      static_cast<int>(common::ToMilliseconds(options_.silence_timeout)));
  SetIntOption(descriptor_, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetIntOption(descriptor_, IPPROTO_TCP, TCP_KEEPIDLE, kProbeIdleSeconds);
  SetIntOption(descriptor_, IPPROTO_TCP, TCP_KEEPINTVL, kProbeIntervalSeconds);
  SetIntOption(descriptor_, IPPROTO_TCP, TCP_KEEPCNT, kMaxUnansweredProbes);
  if (options_.kernel_receive_bytes > 0) {
    SetIntOption(descriptor_, SOL_SOCKET, SO_RCVBUF,
                 options_.kernel_receive_bytes);
  }
  if (options_.kernel_send_bytes > 0) {
    SetIntOption(descriptor_, SOL_SOCKET, SO_SNDBUF,
                 options_.kernel_send_bytes);
  }
}

void StreamSocket::Consume(size_t bytes) {
  input_start_ += bytes;
  if (input_start_ == input_.size()) {
    input_start_ = 0;
    input_.clear();
    if (input_.capacity() > kMaxEmptyBufferBytes) {
      input_.shrink_to_fit();
    }
  }
  if (state_ == State::kOpen) {
    UpdateInterest();
  }
}

void StreamSocket::SetMaxInput(size_t bytes) {
  options_.max_input_bytes = bytes;
  if (state_ == State::kOpen) {
    UpdateInterest();
  }
}

size_t StreamSocket::held_bytes() const {
  size_t bytes = input_.capacity() + output_.capacity();
  if (reading_paused()) {
    bytes += static_cast<size_t>(options_.kernel_receive_bytes);
  }
  if (unsent() > 0) {
    bytes += static_cast<size_t>(options_.kernel_send_bytes);
  }
  return bytes;
}

bool StreamSocket::Write(std::string_view data) {
  if (state_ == State::kClosed) {
    return false;
  }
  if (state_ == State::kOpen && unsent() == 0 && !Send(data)) {
    FailLater(CloseReason::kBroken);
    return false;
  }
  output_.append(data);
  UpdateInterest();
  return true;
}

bool StreamSocket::Send(std::string_view& data) {
  while (!data.empty()) {
    const ssize_t sent =
        send(descriptor_, data.data(), data.size(), MSG_NOSIGNAL);
    if (sent < 0) {
      return errno == EAGAIN || errno == EINTR;
    }
    sent_any_ = true;
    data.remove_prefix(static_cast<size_t>(sent));
  }
  return true;
}

bool StreamSocket::Flush() {
  std::string_view rest = std::string_view(output_).substr(output_start_);
  const bool sound = Send(rest);
  output_start_ = output_.size() - rest.size();
  if (!sound || !rest.empty()) {
    return sound;
  }
  output_.clear();
  output_start_ = 0;
  if (output_.capacity() > kMaxEmptyBufferBytes) {
    output_.shrink_to_fit();
  }
  return true;
}

void StreamSocket::UpdateInterest() {
  if (state_ == State::kClosed) {
    return;
  }
  if (state_ == State::kConnecting) {
    loop_.Watch(descriptor_, this, {.writable = true});
    return;
  }
  const bool paused = reading_paused();
  loop_.Watch(descriptor_, this,
              {.readable = !paused && failure_timer_ == event_loop::kNoTimer,
               .writable = unsent() > 0});
  if (paused && options_.close_discards_input &&
      pause_timer_ == event_loop::kNoTimer) {
    pause_timer_ =
        loop_.RunAfter(kPausedCheckPeriod, [this] { CheckWhilePaused(); });
  }
}

void StreamSocket::CheckWhilePaused() {
  pause_timer_ = event_loop::kNoTimer;
  if (!FailIfPeerClosed()) {
    UpdateInterest();
  }
}

bool StreamSocket::FailIfPeerClosed() {
  if (state_ != State::kOpen) {
    return state_ == State::kClosed;
  }
  // Unlike a read, finds a close behind unread input.
  pollfd state{.fd = descriptor_, .events = POLLRDHUP, .revents = 0};
  if (poll(&state, 1, /*timeout=*/0) <= 0) {
    return false;
  }
  const bool broken = (state.revents & (POLLERR | POLLHUP)) != 0;
  Fail(broken ? CloseReason::kBroken : CloseReason::kEndOfStream);
  return true;
}

void StreamSocket::Close(bool reset) {
  loop_.Cancel(connect_timer_);
  loop_.Cancel(failure_timer_);
  loop_.Cancel(pause_timer_);
  loop_.Cancel(linger_timer_);
  state_ = State::kClosed;
  if (descriptor_ < 0) {
    return;
  }
  if (reset) {
    const linger reset_on_close{.l_onoff = 1, .l_linger = 0};
    setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &reset_on_close,
               sizeof(reset_on_close));
  }
  loop_.Unwatch(descriptor_);
  close(descriptor_);
  descriptor_ = -1;
}

void StreamSocket::CloseWhenFlushed() {
  close_when_flushed_ = true;
  if (unsent() == 0 && state_ == State::kOpen) {
    BeginLinger();
  }
}

void StreamSocket::BeginLinger() {
  if (lingering_) {
    return;
  }
  lingering_ = true;
  shutdown(descriptor_, SHUT_WR);
  linger_timer_ = loop_.RunAfter(kLingerTimeout, [this] {
    linger_timer_ = event_loop::kNoTimer;
    Fail(CloseReason::kEndOfStream);
  });
}

void StreamSocket::Fail(CloseReason reason) {
  if (state_ == State::kClosed) {
    return;
  }
  Close();
  handler_.OnClosed(reason);
}

void StreamSocket::FailLater(CloseReason reason) {
  if (failure_timer_ != event_loop::kNoTimer) {
    return;
  }
  failure_timer_ = loop_.RunAfter(common::Duration::zero(), [this, reason] {
    failure_timer_ = event_loop::kNoTimer;
    Fail(reason);
  });
}

void StreamSocket::OnReadable() {
  std::array<char, kReadBytes> buffer;
  const ssize_t received = recv(descriptor_, buffer.data(), buffer.size(), 0);
  if (received < 0) {
    if (errno != EAGAIN && errno != EINTR) {
      Fail(CloseReason::kBroken);
    }
    return;
  }
  if (received == 0) {
    Fail(CloseReason::kEndOfStream);
    return;
  }
  if (lingering_) {
    return;
  }
  if (input_start_ > 0) {
    input_.erase(0, input_start_);
    input_start_ = 0;
  }
  input_.append(buffer.data(), static_cast<size_t>(received));
  UpdateInterest();
  handler_.OnData();
}

void StreamSocket::OnWritable() {
  if (state_ == State::kConnecting) {
    int error = 0;
    socklen_t length = sizeof(error);
    getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0) {
      Fail(CloseReason::kNotConnected);
      return;
    }
    loop_.Cancel(connect_timer_);
    connect_timer_ = event_loop::kNoTimer;
    state_ = State::kOpen;
    UpdateInterest();
    handler_.OnConnected();
    if (state_ != State::kOpen) {
      return;
    }
  }
  if (!Flush()) {
    Fail(CloseReason::kBroken);
    return;
  }
  UpdateInterest();
  if (unsent() > 0) {
    handler_.OnSendProgress();
    return;
  }
  if (close_when_flushed_) {
    BeginLinger();
    return;
  }
  handler_.OnFlushed();
}

}  // namespace wagtailshore::stream_socket
