#ifndef TRANSPORT_PEER_LINK_PEER_CLIENT_H_
#define TRANSPORT_PEER_LINK_PEER_CLIENT_H_

#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "common/time.h"

namespace wagtailshore::peer_link {

// Sends control requests to many peers concurrently without blocking. Keeps one
// connection per peer. A single request without a reply is enough to replace
// the connection, because a connection can stop delivering data permanently
// while new connections to the same peer work.
class PeerClient {
 public:
  // Called once per Send() with the reply or the error, usually on a thread of
  // nng; on the calling thread when the request fails before it is sent.
  using Callback = std::function<void(absl::StatusOr<std::string>)>;

  PeerClient();
  // Cancels the requests in progress and waits for their callbacks.
  ~PeerClient();
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  // Sends `request` to `address`, "IP:port". Allows one request per peer at a
  // time: while one is in progress, another fails immediately with Unavailable.
  // `timeout` applies to sending the request and to receiving the reply, each
  // on its own. Other failures are Unavailable when the socket cannot be
  // opened, DeadlineExceeded when no reply came and ResourceExhausted when out
  // of memory.
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
