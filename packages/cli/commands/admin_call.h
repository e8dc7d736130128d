#ifndef CLI_COMMANDS_ADMIN_CALL_H_
#define CLI_COMMANDS_ADMIN_CALL_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "cli/commands/command_line.h"
#include "transport/http_client/http_client.h"

namespace wagtailshore::commands {

// The answer of an admin server.
struct AdminReply {
  int status = 0;
  std::string body;
  // The body parsed as JSON; is_discarded() if it is not JSON.
  nlohmann::json json;
  bool ok() const;
};

struct AdminRequest {
  // "IP:port"
  std::string address;
  std::string method = "GET";
  // Including the query string.
  std::string path;
  std::string body;
};

// Sends a request to an admin address. Prints the reason to `context.err` and
// returns nothing if there is no answer.
std::optional<AdminReply> CallAdmin(const AdminRequest& request,
                                    const Context& context);

}  // namespace wagtailshore::commands

#endif  // CLI_COMMANDS_ADMIN_CALL_H_
