#include "e2e/caller.h"

#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "common/strings.h"
#include "transport/http_client/http_client.h"

namespace wagtailshore::e2e {
namespace {

using Json = nlohmann::json;

constexpr common::Duration kTimeout = common::seconds(30);
constexpr int kOk = 200;
constexpr std::string_view kDataPrefix = "data: ";

// Reads the fields of a refusal, if `json` is one, into `answer`.
void ReadRefusal(const Json& json, CallerAnswer& answer) {
  if (!json.is_object() || !json.contains("error")) {
    return;
  }
  answer.code = json["error"].value("code", "");
  answer.ran = json["error"].value("ran", "");
  answer.has_retry_after = json["error"].contains("retry_after_ms");
}

// Reads the events of a streamed answer into `answer`.
void ReadEvents(const std::string& body, CallerAnswer& answer) {
  std::istringstream lines(body);
  std::string line;
  bool done = false;
  while (std::getline(lines, line)) {
    done = done || line == "event: done";
    if (!line.starts_with(kDataPrefix)) {
      continue;
    }
    const Json json = Json::parse(line.substr(kDataPrefix.size()), nullptr,
                                  /*allow_exceptions=*/false);
    ReadRefusal(json, answer);
    if (json.is_object() && json.contains("text")) {
      answer.text += json["text"].get<std::string>();
    }
  }
  answer.complete = done && answer.code.empty();
}

std::variant<http_client::Reply, http_client::CallFailure> Send(
    http_client::Request request,
    const std::string& key) {
  request.headers.emplace_back("Authorization", "Bearer " + key);
  return http_client::Call(std::move(request), kTimeout);
}

// Sends a request whose reply is a single JSON body. Returns the answer.
CallerAnswer CallWithJsonReply(http_client::Request request,
                               const std::string& key) {
  const auto outcome = Send(std::move(request), key);
  const auto* reply = std::get_if<http_client::Reply>(&outcome);
  CallerAnswer answer;
  if (reply == nullptr) {
    return answer;
  }
  answer.status = reply->status;
  answer.text = reply->body;
  answer.complete = reply->status == kOk;
  ReadRefusal(Json::parse(reply->body, nullptr, /*allow_exceptions=*/false),
              answer);
  return answer;
}

}  // namespace

CallerAnswer Generate(const GenerateSpec& spec) {
  const Json body = {
      {"prompt", spec.prompt}, {"max_tokens", spec.tokens}, {"stream", true}};
  const auto outcome = Send({.method = "POST",
                             .url = spec.url + "/v1/models/model/generate",
                             .body = body.dump()},
                            spec.key);
  const auto* reply = std::get_if<http_client::Reply>(&outcome);
  CallerAnswer answer;
  if (reply == nullptr) {
    return answer;
  }
  answer.status = reply->status;
  if (reply->status == kOk) {
    ReadEvents(reply->body, answer);
  } else {
    ReadRefusal(Json::parse(reply->body, nullptr, /*allow_exceptions=*/false),
                answer);
  }
  return answer;
}

CallerAnswer Print(const PrintSpec& spec) {
  const Json body = {{"call", "print"}, {"input", {{"badge", spec.badge}}}};
  return CallWithJsonReply(
      {.method = "POST",
       .url = spec.url + "/v1/services/printing/call",
       .headers = {{"Idempotency-Key", spec.idempotency_key}},
       .body = body.dump()},
      spec.key);
}

CallerAnswer LookUp(const PrintSpec& spec) {
  return CallWithJsonReply(
      {.url = spec.url + "/v1/outcomes",
       .headers = {{"Idempotency-Key", spec.idempotency_key}}},
      spec.key);
}

}  // namespace wagtailshore::e2e
