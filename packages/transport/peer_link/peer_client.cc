#include "transport/peer_link/peer_client.h"

#include <nng/nng.h>
#include <nng/protocol/reqrep0/req.h>

#include <map>
#include <mutex>
#include <utility>

#include "common/strings.h"
#include "transport/peer_link/peer_server.h"

namespace wagtailshore::peer_link {
namespace {

// The connection to one peer and the request in progress on it, if any.
class Link {
 public:
  Link() { nng_aio_alloc(&aio_, &Link::OnAioDone, this); }

  ~Link() {
    nng_aio_stop(aio_);
    nng_aio_free(aio_);
    CloseSocket();
  }
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  void Send(const std::string& address,
            const std::string& request,
            common::Duration timeout,
            PeerClient::Callback callback) {
    {
      const std::lock_guard lock(mutex_);
      if (busy_) {
        callback(absl::UnavailableError(
            "another request to this peer is in progress"));
        return;
      }
      busy_ = true;
    }
    callback_ = std::move(callback);
    const int result = OpenSocket(address);
    if (result != 0) {
      Finish(absl::UnavailableError(nng_strerror(result)));
      return;
    }
    nng_msg* message = nullptr;
    if (nng_msg_alloc(&message, 0) != 0) {
      Finish(absl::ResourceExhaustedError("out of memory"));
      return;
    }
    nng_msg_append(message, request.data(), request.size());
    sending_ = true;
    nng_aio_set_timeout(
        aio_, static_cast<nng_duration>(common::ToMilliseconds(timeout)));
    nng_aio_set_msg(aio_, message);
    nng_send_aio(socket_, aio_);
  }

 private:
  static void OnAioDone(void* self) {
    static_cast<Link*>(self)->HandleAioDone();
  }

  void HandleAioDone() {
    const int result = nng_aio_result(aio_);
    if (result != 0) {
      if (sending_) {
        nng_msg_free(nng_aio_get_msg(aio_));
      }
      // Closing the socket from its own callback could block, so the next
      // Send() closes it.
      reconnect_needed_ = true;
      Finish(absl::DeadlineExceededError(nng_strerror(result)));
      return;
    }
    if (sending_) {
      sending_ = false;
      nng_recv_aio(socket_, aio_);
      return;
    }
    nng_msg* message = nng_aio_get_msg(aio_);
    std::string reply(static_cast<const char*>(nng_msg_body(message)),
                      nng_msg_len(message));
    nng_msg_free(message);
    Finish(std::move(reply));
  }

  void Finish(absl::StatusOr<std::string> result) {
    PeerClient::Callback callback = std::move(callback_);
    {
      const std::lock_guard lock(mutex_);
      busy_ = false;
    }
    callback(std::move(result));
  }

  int OpenSocket(const std::string& address) {
    if (std::exchange(reconnect_needed_, false)) {
      CloseSocket();
    }
    if (open_) {
      return 0;
    }
    int result = nng_req0_open(&socket_);
    if (result != 0) {
      return result;
    }
    open_ = true;
    nng_socket_set_size(socket_, NNG_OPT_RECVMAXSZ, kMaxMessageBytes);
    return nng_dial(socket_, common::StrCat("tcp://", address).c_str(), nullptr,
                    NNG_FLAG_NONBLOCK);
  }

  void CloseSocket() {
    if (open_) {
      nng_close(socket_);
      open_ = false;
    }
  }

  nng_aio* aio_ = nullptr;
  nng_socket socket_ = NNG_SOCKET_INITIALIZER;
  bool open_ = false;
  bool sending_ = false;
  bool reconnect_needed_ = false;
  std::mutex mutex_;
  bool busy_ = false;
  PeerClient::Callback callback_;
};

}  // namespace

class PeerClient::Impl {
 public:
  Link& GetLink(const std::string& address) {
    const std::lock_guard lock(mutex_);
    std::unique_ptr<Link>& link = links_[address];
    if (link == nullptr) {
      link = std::make_unique<Link>();
    }
    return *link;
  }

 private:
  std::mutex mutex_;
  std::map<std::string, std::unique_ptr<Link>> links_;
};

PeerClient::PeerClient() : impl_(std::make_unique<Impl>()) {}

PeerClient::~PeerClient() = default;

void PeerClient::Send(const std::string& address,
                      const std::string& request,
                      common::Duration timeout,
                      Callback callback) {
  impl_->GetLink(address).Send(address, request, timeout, std::move(callback));
}

}  // namespace wagtailshore::peer_link
