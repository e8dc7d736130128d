#ifndef CLI_COMMANDS_ADMIN_CALL_H_
#define CLI_COMMANDS_ADMIN_CALL_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "cli/commands/command_line.h"
#include "transport/http_client/http_client.h"

namespace wagtailshore::commands {

// An admin address's answer.
struct AdminReply {
  int status = 0;
  std::string body;
  // The body as JSON; discarded when it is none.
  nlohmann::json json;
  bool ok() const;
};

struct AdminRequest {
  // "IP:port"
  std::string address;
  std::string method = "GET";
  // With its query string.
  std::string path;
  std::string body;
};

// Asks an admin address; says why on `context.err` when no answer comes.
std::optional<AdminReply> CallAdmin(const AdminRequest& request,
                                    const Context& context);

}  // namespace wagtailshore::commands

#endif  // CLI_COMMANDS_ADMIN_CALL_H_
