#include "transport/peer_link/peer_server.h"

#include <nng/nng.h>
#include <nng/protocol/reqrep0/rep.h>

#include <thread>
#include <utility>

#include "common/strings.h"

namespace wagtailshore::peer_link {

class PeerServer::Impl {
 public:
  explicit Impl(Handler handler) : handler_(std::move(handler)) {
    nng_aio_alloc(&receive_, nullptr, nullptr);
  }

  // Stops the receive operation before the socket is closed, because nng can
  // block forever when a socket is closed while a thread receives from it.
  ~Impl() {
    nng_aio_stop(receive_);
    if (thread_.joinable()) {
      thread_.join();
    }
    nng_aio_free(receive_);
    if (opened_) {
      nng_close(socket_);
    }
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  absl::Status Start(const std::string& address) {
    int result = nng_rep0_open(&socket_);
    if (result != 0) {
      return absl::UnavailableError(nng_strerror(result));
    }
    opened_ = true;
    nng_socket_set_size(socket_, NNG_OPT_RECVMAXSZ, kMaxMessageBytes);
    result = nng_listen(socket_, common::StrCat("tcp://", address).c_str(),
                        nullptr, 0);
    if (result != 0) {
      return absl::UnavailableError(common::StrCat("cannot listen on ", address,
                                                   ": ", nng_strerror(result)));
    }
    thread_ = std::thread([this] { Serve(); });
    return absl::OkStatus();
  }

 private:
  void Serve() {
    while (true) {
      nng_recv_aio(socket_, receive_);
      nng_aio_wait(receive_);
      const int result = nng_aio_result(receive_);
      if (result == NNG_ECANCELED || result == NNG_ECLOSED) {
        return;
      }
      if (result != 0) {
        continue;
      }
      nng_msg* message = nng_aio_get_msg(receive_);
      const std::string reply =
          handler_({static_cast<const char*>(nng_msg_body(message)),
                    nng_msg_len(message)});
      nng_msg_free(message);
      if (!reply.empty()) {
        SendReply(reply);
      }
    }
  }

  void SendReply(const std::string& reply) {
    nng_msg* message = nullptr;
    if (nng_msg_alloc(&message, 0) != 0) {
      return;
    }
    nng_msg_append(message, reply.data(), reply.size());
    // A reply that cannot be sent is dropped; the peer repeats its request.
    if (nng_sendmsg(socket_, message, NNG_FLAG_NONBLOCK) != 0) {
      nng_msg_free(message);
    }
  }

  Handler handler_;
  nng_socket socket_ = NNG_SOCKET_INITIALIZER;
  bool opened_ = false;
  nng_aio* receive_ = nullptr;
  std::thread thread_;
};

absl::StatusOr<std::unique_ptr<PeerServer>> PeerServer::Start(
    const std::string& address,
    Handler handler) {
  auto impl = std::make_unique<Impl>(std::move(handler));
  absl::Status status = impl->Start(address);
  if (!status.ok()) {
    return status;
  }
  return std::unique_ptr<PeerServer>(new PeerServer(std::move(impl)));
}

PeerServer::PeerServer(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

PeerServer::~PeerServer() = default;

}  // namespace wagtailshore::peer_link
