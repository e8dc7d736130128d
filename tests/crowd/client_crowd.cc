#include "crowd/client_crowd.h"

#include <algorithm>
#include <utility>

#include "transport/stream_socket/stream_socket.h"

namespace wagtailshore::crowd {
namespace {

// Bytes that a client hands to the kernel before the next client's turn.
constexpr size_t kTurnBytes = size_t{64} << 10;
constexpr common::Duration kConnectTimeout = common::seconds(20);

stream_socket::StreamOptions OptionsOf(const Transmission& transmission) {
  stream_socket::StreamOptions options{.connect_timeout = kConnectTimeout,
                                       .silence_timeout = common::seconds(60)};
  if (!transmission.reads) {
    options.max_input_bytes = 0;
  }
  return options;
}

}  // namespace

class ClientCrowd::Client final : public stream_socket::StreamHandler {
 public:
  Client(event_loop::EventLoop& loop,
         const std::string& address,
         const Transmission& transmission)
      : loop_(loop),
        transmission_(transmission),
        socket_(loop, address, *this, OptionsOf(transmission)) {}
  ~Client() override {
    loop_.Cancel(turn_);
    loop_.Cancel(trickle_);
  }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  bool sent() const { return sent_ || closed_; }
  bool connected() const { return socket_.connected(); }

  void OnConnected() override {
    socket_.Write(transmission_.prefix);
    TakeTurn();
  }
  void OnData() override { socket_.Consume(socket_.input().size()); }
  void OnFlushed() override { TakeTurn(); }
  void OnClosed(stream_socket::CloseReason) override {
    closed_ = true;
    loop_.Cancel(turn_);
    loop_.Cancel(trickle_);
  }

 private:
  void TakeTurn() {
    std::string bytes;
    while (repeats_ < transmission_.repeats && bytes.size() < kTurnBytes) {
      bytes += transmission_.unit;
      ++repeats_;
    }
    if (bytes.empty()) {
      End();
      return;
    }
    socket_.Write(bytes);
    if (socket_.unsent() == 0 && turn_ == event_loop::kNoTimer) {
      turn_ = loop_.RunAfter(common::Duration::zero(), [this] {
        turn_ = event_loop::kNoTimer;
        TakeTurn();
      });
    }
  }
  void End() {
    if (sent_) {
      return;
    }
    sent_ = true;
    socket_.Write(transmission_.suffix);
    if (transmission_.trickles) {
      Trickle();
    }
  }
  void Trickle() {
    trickle_ = loop_.RunAfter(kTricklePeriod, [this] {
      trickle_ = event_loop::kNoTimer;
      if (socket_.Write("x")) {
        Trickle();
      }
    });
  }

  event_loop::EventLoop& loop_;
  const Transmission& transmission_;
  stream_socket::StreamSocket socket_;
  size_t repeats_ = 0;
  bool sent_ = false;
  bool closed_ = false;
  event_loop::TimerId turn_ = event_loop::kNoTimer;
  event_loop::TimerId trickle_ = event_loop::kNoTimer;
};

ClientCrowd::ClientCrowd(event_loop::EventLoop& loop,
                         const std::string& address,
                         int clients,
                         const std::vector<Transmission>& transmissions) {
  for (int i = 0; i < clients; ++i) {
    clients_.push_back(std::make_unique<Client>(
        loop, address, transmissions[i % transmissions.size()]));
  }
}

ClientCrowd::~ClientCrowd() = default;

bool ClientCrowd::sent() const {
  return std::all_of(clients_.begin(), clients_.end(),
                     [](const auto& client) { return client->sent(); });
}

size_t ClientCrowd::connected() const {
  return static_cast<size_t>(
      std::count_if(clients_.begin(), clients_.end(),
                    [](const auto& client) { return client->connected(); }));
}

}  // namespace wagtailshore::crowd
