#ifndef DAEMON_ENTRY_ENTRY_ADMIN_H_
#define DAEMON_ENTRY_ENTRY_ADMIN_H_

#include <optional>

#include "daemon/node/node.h"
#include "transport/http_server/http_server.h"

namespace wagtailshore::entry {

// Serves the admin requests that only entries have: manifest submission (POST
// /manifest?base=VERSION&submission=ID) and the manifest in force (GET
// /manifest). Returns nothing for any other path. Called on the connection's
// thread.
std::optional<http_server::Response> OnAdminRequest(
    node::Node& node,
    const http_server::Request& request);

}  // namespace wagtailshore::entry

#endif  // DAEMON_ENTRY_ENTRY_ADMIN_H_
