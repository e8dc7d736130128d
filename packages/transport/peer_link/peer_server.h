#ifndef TRANSPORT_PEER_LINK_PEER_SERVER_H_
#define TRANSPORT_PEER_LINK_PEER_SERVER_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

// Control messages between the system's own processes, as nng request and
// reply.
namespace wagtailshore::peer_link {

// Larger messages are dropped with their connection.
inline constexpr size_t kMaxMessageBytes = size_t{8} << 20;

class PeerServer {
 public:
  // Turns a request into its reply; called on the server's one thread. An
  // empty reply drops the request.
  using Handler = std::function<std::string(std::string_view)>;

  // Listens on `address`, "IP:port".
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
