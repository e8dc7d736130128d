#include "soak/tcp_proxy.h"

#include <utility>

#include "common/strings.h"

namespace wagtailshore::soak {
namespace {

constexpr common::Duration kDelay = common::milliseconds(150);
// The silence timeout exceeds the duration of every fault, so that connections
// break only when the proxy closes them.
constexpr stream_socket::StreamOptions kLongTimeout = {.silence_timeout =
                                                           common::seconds(60)};

}  // namespace

class TcpProxy::Link {
 public:
  Link(TcpProxy& proxy, int descriptor)
      : proxy_(proxy), client_(*this, &server_), server_(*this, &client_) {
    client_.socket = std::make_unique<stream_socket::StreamSocket>(
        proxy.loop_, descriptor, client_, kLongTimeout);
    server_.socket = std::make_unique<stream_socket::StreamSocket>(
        proxy.loop_, proxy.target_, server_, kLongTimeout);
  }
  ~Link() { *alive_ = false; }

  void Reset() {
    client_.socket->Close(/*reset=*/true);
    server_.socket->Close(/*reset=*/true);
    ended_ = true;
  }
  void Silence() { silenced_ = true; }
  void ForwardPending() {
    client_.OnData();
    server_.OnData();
  }
  bool ended() const { return ended_; }

 private:
  struct Side final : public stream_socket::StreamHandler {
    Side(Link& owner, Side* other_side) : link(owner), other(other_side) {}

    void OnConnected() override { link.ForwardPending(); }
    void OnData() override { link.Forward(*this); }
    void OnClosed(stream_socket::CloseReason reason) override {
      link.OnSideClosed(*this, reason);
    }

    Link& link;
    Side* other;
    std::unique_ptr<stream_socket::StreamSocket> socket;
  };

  bool Blocks(const Side& from) const {
    const bool to_server = &from == &client_;
    return silenced_ ||
           (proxy_.fault_ == LinkFault::kCutToServer && to_server) ||
           (proxy_.fault_ == LinkFault::kCutToClient && !to_server);
  }

  void Forward(Side& from) {
    if (ended_ || Blocks(from) || from.socket->input().empty()) {
      return;
    }
    if (proxy_.fault_ == LinkFault::kReset) {
      Reset();
      return;
    }
    std::string data(from.socket->input());
    from.socket->Consume(data.size());
    if (proxy_.fault_ != LinkFault::kDelay) {
      from.other->socket->Write(data);
      return;
    }
    proxy_.loop_.RunAfter(kDelay, [this, alive = alive_, to = from.other,
                                   data = std::move(data)] {
      if (*alive && !ended_) {
        to->socket->Write(data);
      }
    });
  }

  void OnSideClosed(Side& side, stream_socket::CloseReason reason) {
    if (ended_) {
      return;
    }
    ended_ = true;
    if (silenced_) {
      return;
    }
    if (reason == stream_socket::CloseReason::kEndOfStream) {
      side.other->socket->CloseWhenFlushed();
    } else {
      side.other->socket->Close(/*reset=*/true);
    }
  }

  TcpProxy& proxy_;
  Side client_;
  Side server_;
  bool silenced_ = false;
  bool ended_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

TcpProxy::TcpProxy(event_loop::EventLoop& loop, std::string target)
    : loop_(loop), target_(std::move(target)) {
  listener_ = *stream_socket::Listener::Open(
      loop_, "127.0.0.1:0", [this](int descriptor) {
        links_.push_back(std::make_unique<Link>(*this, descriptor));
      });
}

TcpProxy::~TcpProxy() = default;

std::string TcpProxy::address() const {
  return common::StrCat("127.0.0.1:", listener_->port());
}

void TcpProxy::Stop() {
  const uint16_t port = listener_->port();
  listener_.reset();
  reservation_ = std::make_unique<PortReservation>(port);
  for (const auto& link : links_) {
    if (!link->ended()) {
      link->Reset();
    }
  }
}

void TcpProxy::SetFault(LinkFault fault) {
  fault_ = fault;
  for (const auto& link : links_) {
    if (fault == LinkFault::kReset && !link->ended()) {
      link->Reset();
    } else if (fault == LinkFault::kSilenceOpen) {
      link->Silence();
    } else {
      link->ForwardPending();
    }
  }
  if (fault == LinkFault::kSilenceOpen) {
    fault_ = LinkFault::kNone;
  }
}

}  // namespace wagtailshore::soak
