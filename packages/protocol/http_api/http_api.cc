#include "protocol/http_api/http_api.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "common/digest.h"
#include "common/strings.h"
#include "state/manifest/manifest.h"

namespace wagtailshore::http_api {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kBearerPrefix = "Bearer ";
// The JSON library serializes recursively, so deeper input could exhaust the
// stack.
constexpr int kMaxJsonDepth = 64;
// Objects, arrays and other values of a body: an empty object of three bytes
// takes about 80 as long as the body is being read.
constexpr size_t kMaxJsonValues = 100'000;

std::string_view Find(const Headers& headers, std::string_view name) {
  const auto found = headers.find(std::string(name));
  return found == headers.end() ? std::string_view() : found->second;
}

refusal::Refusal BadRequest(std::string message) {
  return {.code = refusal::Code::kBadRequest, .message = std::move(message)};
}

refusal::Refusal NotFound() {
  return {.code = refusal::Code::kNotFound,
          .message = "no such method and path; see docs/API.md"};
}

// Serializes `json` and replaces invalid UTF-8: an engine's token may end
// within a character, and the caller must still get an answer.
std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

// Reads a text without keeping it, and stops at the first value that is beyond
// the limits.
class JsonLimits final : public nlohmann::json_sax<Json> {
 public:
  bool null() override { return CountValue(); }
  bool boolean(bool) override { return CountValue(); }
  bool number_integer(number_integer_t) override { return CountValue(); }
  bool number_unsigned(number_unsigned_t) override { return CountValue(); }
  bool number_float(number_float_t, const string_t&) override {
    return CountValue();
  }
  bool string(string_t&) override { return CountValue(); }
  bool binary(binary_t&) override { return CountValue(); }
  bool key(string_t&) override { return CountValue(); }
  bool start_object(size_t) override { return Enter(); }
  bool start_array(size_t) override { return Enter(); }
  bool end_object() override { return Leave(); }
  bool end_array() override { return Leave(); }
  bool parse_error(size_t,
                   const std::string&,
                   const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  bool CountValue() { return ++values_ <= kMaxJsonValues; }
  bool Enter() { return ++depth_ <= kMaxJsonDepth && CountValue(); }
  bool Leave() {
    --depth_;
    return true;
  }

  int depth_ = 0;
  size_t values_ = 0;
};

// Returns the JSON object in `body`, or a discarded value if it is not an
// object, is nested too deeply or has too many values.
Json ParseObject(std::string_view body) {
  JsonLimits limits;
  if (!Json::sax_parse(body, &limits)) {
    return Json(Json::value_t::discarded);
  }
  Json json = Json::parse(body, nullptr, /*allow_exceptions=*/false);
  return json.is_object() ? json : Json(Json::value_t::discarded);
}

std::variant<Call, refusal::Refusal> ParseGenerate(std::string_view model,
                                                   const Json& json) {
  GenerateCall call{.model = std::string(model)};
  for (const auto& [name, value] : json.items()) {
    if (name == "prompt" && value.is_string()) {
      call.prompt = value.get<std::string>();
    } else if (name == "max_tokens" && value.is_number_unsigned() &&
               value.get<uint64_t>() > 0 &&
               value.get<uint64_t>() <= kMaxTokens) {
      call.max_tokens = value.get<uint64_t>();
    } else if (name == "stream" && value.is_boolean()) {
      call.stream = value.get<bool>();
    } else {
      return BadRequest(
          common::StrCat("field \"", name, "\" is unknown or out of range"));
    }
  }
  if (call.prompt.empty()) {
    return BadRequest("\"prompt\" is missing");
  }
  return call;
}

std::variant<Call, refusal::Refusal> ParseServiceCall(std::string_view service,
                                                      const Json& json) {
  ServiceCall call{.service = std::string(service)};
  for (const auto& [name, value] : json.items()) {
    if (name == "call" && value.is_string()) {
      call.call = value.get<std::string>();
    } else if (name == "input") {
      call.body = Dump(value);
    } else {
      return BadRequest(common::StrCat("field \"", name,
                                       "\" is unknown or has the wrong type"));
    }
  }
  if (call.call.empty()) {
    return BadRequest("\"call\" is missing");
  }
  return call;
}

}  // namespace

std::variant<Envelope, refusal::Refusal> ParseEnvelope(const Headers& headers) {
  Envelope envelope;
  const std::string_view authorization = Find(headers, "authorization");
  if (!authorization.starts_with(kBearerPrefix) ||
      authorization.size() == kBearerPrefix.size()) {
    return refusal::Refusal{.code = refusal::Code::kUnauthorized,
                            .message = "a bearer key is required"};
  }
  envelope.key_sha256 =
      common::Sha256Hex(authorization.substr(kBearerPrefix.size()));

  envelope.idempotency_key = Find(headers, kIdempotencyKeyHeader);
  if (envelope.idempotency_key.size() > kMaxIdempotencyKeyBytes) {
    return BadRequest(common::StrCat("Idempotency-Key is longer than ",
                                     kMaxIdempotencyKeyBytes, " bytes"));
  }
  const std::string_view timeout = Find(headers, kRequestTimeoutHeader);
  if (!timeout.empty()) {
    int64_t timeout_ms = 0;
    if (!absl::SimpleAtoi(common::AsAbsl(timeout), &timeout_ms) ||
        timeout_ms <= 0 || timeout_ms > common::ToMilliseconds(kMaxTimeout)) {
      return BadRequest("Request-Timeout must be from 1 to 3600000 ms");
    }
    envelope.timeout = common::milliseconds(timeout_ms);
  }
  envelope.priority = Find(headers, kPriorityHeader);
  if (!envelope.priority.empty() &&
      !common::ValueOf(manifest::kPriorityNames, envelope.priority)) {
    return BadRequest("Priority must be low, normal or high");
  }
  return envelope;
}

std::variant<Call, refusal::Refusal> ParseCall(std::string_view method,
                                               std::string_view path,
                                               std::string_view body) {
  if (method == "GET" && path == "/v1/outcomes") {
    return OutcomeLookup{};
  }
  const std::vector<std::string> parts =
      absl::StrSplit(common::AsAbsl(path), '/');
  // "/v1/models/NAME/generate" splits into an empty part and four more.
  constexpr size_t kParts = 5;
  if (method != "POST" || parts.size() != kParts || parts[1] != "v1" ||
      parts[3].empty()) {
    return NotFound();
  }
  const bool generate = parts[2] == "models" && parts[4] == "generate";
  const bool call = parts[2] == "services" && parts[4] == "call";
  if (!generate && !call) {
    return NotFound();
  }
  const Json json = ParseObject(body);
  if (json.is_discarded()) {
    return BadRequest(
        "the body must be a JSON object with at most 64 nesting levels and "
        "100000 values");
  }
  return generate ? ParseGenerate(parts[3], json)
                  : ParseServiceCall(parts[3], json);
}

std::string FormatRefusal(const refusal::Refusal& refusal) {
  Json json = {{"error",
                {{"code", common::NameOf(refusal::kCodeNames, refusal.code)},
                 {"ran", common::NameOf(refusal::kRanNames, refusal.ran)},
                 {"message", refusal.message}}}};
  if (refusal.retry_after.has_value()) {
    json["error"]["retry_after_ms"] =
        common::ToMilliseconds(*refusal.retry_after);
  }
  return Dump(json);
}

std::optional<std::string> RetryAfterSeconds(const refusal::Refusal& refusal) {
  if (!refusal.retry_after.has_value()) {
    return std::nullopt;
  }
  const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(*refusal.retry_after);
  return common::StrCat(seconds.count());
}

std::string FormatTextEvent(std::string_view text) {
  return common::StrCat("data: ", Dump({{"text", text}}), "\n\n");
}

std::string FormatDoneEvent(uint64_t tokens) {
  return common::StrCat("event: done\ndata: ", Dump({{"tokens", tokens}}),
                        "\n\n");
}

std::string FormatRefusalEvent(const refusal::Refusal& refusal) {
  return common::StrCat("event: error\ndata: ", FormatRefusal(refusal), "\n\n");
}

std::string FormatAnswer(std::string_view text, uint64_t tokens) {
  return Dump({{"text", text}, {"tokens", tokens}});
}

}  // namespace wagtailshore::http_api
