#ifndef DAEMON_ENDPOINT_ATTEMPT_SERVER_H_
#define DAEMON_ENDPOINT_ATTEMPT_SERVER_H_

#include "daemon/endpoint/settler.h"
#include "daemon/node/node.h"
#include "protocol/messages/messages.h"
#include "transport/http_server/http_server.h"

namespace wagtailshore::endpoint {

// Serves the attempts that entries send: forwards them to the engine or the
// service of this endpoint, or refuses them as not run.
class AttemptServer {
 public:
  explicit AttemptServer(node::Node& node)
      : node_(node), settler_(node.platform()) {}

  // Called on the connection's thread.
  http_server::Response OnRequest(const http_server::Request& request);

 private:
  http_server::Response OnGenerate(const std::string& body);
  http_server::Response OnCall(const std::string& body);
  messages::CallReply RunNonIdempotent(const messages::CallAttempt& attempt);
  messages::CallReply RunIdempotent(const messages::CallAttempt& attempt);

  node::Node& node_;
  Settler settler_;
};

}  // namespace wagtailshore::endpoint

#endif  // DAEMON_ENDPOINT_ATTEMPT_SERVER_H_
