#include "cli/commands/admin_call.h"

#include <utility>
#include <variant>

#include "common/strings.h"

namespace wagtailshore::commands {
namespace {

constexpr common::Duration kAdminTimeout = common::seconds(10);
constexpr int kOk = 200;
constexpr int kUnauthorized = 401;

}  // namespace

bool AdminReply::ok() const {
  return status == kOk;
}

std::optional<AdminReply> CallAdmin(const AdminRequest& request,
                                    const Context& context) {
  http_client::Request http{
      .method = request.method,
      .url = common::StrCat("http://", request.address, request.path),
      .body = request.body};
  if (context.admin_token.has_value()) {
    http.headers.emplace_back("Authorization",
                              common::StrCat("Bearer ", *context.admin_token));
  }
  const auto outcome = http_client::Call(std::move(http), kAdminTimeout);
  if (const auto* failure = std::get_if<http_client::CallFailure>(&outcome)) {
    context.err << "wagtailshore: no answer from " << request.address << ": "
                << failure->reason << "\n";
    return std::nullopt;
  }
  const auto& reply = std::get<http_client::Reply>(outcome);
  if (reply.status == kUnauthorized) {
    context.err << "wagtailshore: " << request.address
                << " requires a token in " << kAdminTokenVariable << "\n";
  }
  return AdminReply{.status = reply.status,
                    .body = reply.body,
                    .json = nlohmann::json::parse(reply.body, nullptr,
                                                  /*allow_exceptions=*/false)};
}

}  // namespace wagtailshore::commands
