#ifndef TRANSPORT_PEER_LINK_PEER_SERVER_H_
#define TRANSPORT_PEER_LINK_PEER_SERVER_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

// Control messages between the processes of the system, over the request/reply
// protocol of nng.
namespace wagtailshore::peer_link {

// Limit on a received message. A larger one closes its connection.
inline constexpr size_t kMaxMessageBytes = size_t{8} << 20;

class PeerServer {
 public:
  // Returns the reply to a request. Called on the server's single thread. An
  // empty reply leaves the request unanswered.
  using Handler = std::function<std::string(std::string_view)>;

  // Listens on `address`, "IP:port"; Unavailable when it cannot be bound.
  static absl::StatusOr<std::unique_ptr<PeerServer>> Start(
      const std::string& address,
      Handler handler);
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

 private:
  class Impl;
  explicit PeerServer(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace wagtailshore::peer_link

#endif  // TRANSPORT_PEER_LINK_PEER_SERVER_H_
