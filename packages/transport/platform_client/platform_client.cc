#include "transport/platform_client/platform_client.h"

#include <algorithm>
#include <exception>
#include <nlohmann/json.hpp>
#include <utility>

#include "common/json_integer.h"
#include "common/strings.h"
#include "transport/http_client/http_client.h"

namespace wagtailshore::platform_client {
namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kConflict = 409;

Json Bytes(const std::string& text) {
  return Json::binary(std::vector<uint8_t>(text.begin(), text.end()));
}

table::Row RowFrom(const Json& json) {
  const auto& value = json.at("value").get_binary();
  return {.version = common::IntegerFrom<uint64_t>(json.at("version")),
          .value = {value.begin(), value.end()},
          .token = json.at("token")};
}

// Sends a msgpack request to the table and returns the status and body of the
// reply. Returns Unavailable for any status except 200 and 409, the two that
// the table uses, and DataLoss for a reply that is not msgpack.
absl::StatusOr<std::pair<int, Json>> PostTable(const PlatformOptions& options,
                                               std::string_view operation,
                                               const Json& request,
                                               common::Duration timeout) {
  const std::vector<uint8_t> body = Json::to_msgpack(request);
  const auto outcome = http_client::Call(
      {.method = "POST",
       .url = common::StrCat(options.url, "/table/", operation),
       .body = {body.begin(), body.end()}},
      std::min(options.timeout, timeout));
  if (const auto* failure = std::get_if<http_client::CallFailure>(&outcome)) {
    return absl::UnavailableError(failure->reason);
  }
  const auto& reply = std::get<http_client::Reply>(outcome);
  if (reply.status != kOk && reply.status != kConflict) {
    return absl::UnavailableError(
        common::StrCat("unexpected HTTP status ", reply.status));
  }
  Json json = Json::from_msgpack(reply.body, /*strict=*/true,
                                 /*allow_exceptions=*/false);
  if (json.is_discarded()) {
    return absl::DataLossError("the reply of the table is not valid msgpack");
  }
  return std::pair(reply.status, std::move(json));
}

absl::StatusOr<http_client::Reply> CallStore(const PlatformOptions& options,
                                             http_client::Request request) {
  auto outcome = http_client::Call(std::move(request), options.timeout);
  if (const auto* failure = std::get_if<http_client::CallFailure>(&outcome)) {
    return absl::UnavailableError(failure->reason);
  }
  auto& reply = std::get<http_client::Reply>(outcome);
  if (reply.status != kOk) {
    return absl::UnavailableError(
        common::StrCat("unexpected HTTP status ", reply.status));
  }
  return std::move(reply);
}

}  // namespace

PlatformClient::PlatformClient(PlatformOptions options)
    : options_(std::move(options)) {}

table::ReadOutcome PlatformClient::Read(const table::ReadRow& request) const {
  return Read(request, options_.timeout);
}

table::WriteOutcome PlatformClient::Write(
    const table::WriteRow& request) const {
  return Write(request, options_.timeout);
}

table::ReadOutcome PlatformClient::Read(const table::ReadRow& request,
                                        common::Duration timeout) const {
  const auto reply =
      PostTable(options_, "read", {{"key", request.key}}, timeout);
  if (!reply.ok()) {
    return table::Unavailable{};
  }
  try {
    return table::RowRead{RowFrom(reply->second)};
  } catch (const std::exception&) {
    return table::Unavailable{};
  }
}

table::WriteOutcome PlatformClient::Write(const table::WriteRow& request,
                                          common::Duration timeout) const {
  const auto reply = PostTable(options_, "write",
                               {{"key", request.key},
                                {"expected_version", request.expected_version},
                                {"value", Bytes(request.value)},
                                {"token", request.token}},
                               timeout);
  if (!reply.ok()) {
    return table::Unavailable{};
  }
  try {
    const table::Row row = RowFrom(reply->second);
    if (reply->first == kConflict) {
      return table::WriteConflict{row};
    }
    return table::RowWritten{row.version};
  } catch (const std::exception&) {
    return table::Unavailable{};
  }
}

absl::Status PlatformClient::PutObject(const std::string& name,
                                       std::string body) const {
  return CallStore(options_,
                   {.method = "PUT",
                    .url = common::StrCat(options_.url, "/objects/", name),
                    .body = std::move(body)})
      .status();
}

absl::StatusOr<std::string> PlatformClient::GetObject(
    const std::string& name) const {
  auto reply = CallStore(
      options_, {.url = common::StrCat(options_.url, "/objects/", name)});
  if (!reply.ok()) {
    return reply.status();
  }
  return std::move(reply->body);
}

absl::StatusOr<std::vector<Instance>> PlatformClient::ListInstances() const {
  const auto reply =
      CallStore(options_, {.url = common::StrCat(options_.url, "/instances")});
  if (!reply.ok()) {
    return reply.status();
  }
  try {
    std::vector<Instance> instances;
    const Json list = Json::parse(reply->body);
    for (const Json& item : common::ArrayFrom(list)) {
      instances.push_back({.name = item.at("name"),
                           .peer_address = item.at("peer_address"),
                           .failure_domain = item.at("failure_domain"),
                           .leaving = item.at("leaving")});
    }
    return instances;
  } catch (const std::exception& error) {
    return absl::DataLossError(error.what());
  }
}

}  // namespace wagtailshore::platform_client
