#ifndef TRANSPORT_PEER_LINK_PEER_CLIENT_H_
#define TRANSPORT_PEER_LINK_PEER_CLIENT_H_

#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "common/time.h"

namespace wagtailshore::peer_link {

// Sends control requests to many peers at once without blocking. Keeps one
// connection per peer for as long as it answers; one unanswered request is
// enough to drop it, because a connection can go silent for good while new
// ones work.
class PeerClient {
 public:
  // Called once per Send, on a thread of the library.
  using Callback = std::function<void(absl::StatusOr<std::string>)>;

  PeerClient();
  // Waits for every request's callback.
  ~PeerClient();
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  // Sends `request` to `address`, "IP:port". A peer takes one request at a
  // time: while one is under way, another fails at once.
  void Send(const std::string& address,
            const std::string& request,
            common::Duration timeout,
            Callback callback);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace wagtailshore::peer_link

#endif  // TRANSPORT_PEER_LINK_PEER_CLIENT_H_
