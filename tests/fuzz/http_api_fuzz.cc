#include <array>
#include <cstdint>
#include <string>

#include "protocol/http_api/http_api.h"

namespace wagtailshore::http_api {
namespace {

constexpr std::array kPaths = {"/v1/models/m/generate", "/v1/services/s/call",
                               "/v1/outcomes"};

// Parses `text` as header values, as a path and as a body. `choice` selects the
// header and the path of the body.
void ParseAll(uint8_t choice, const std::string& text) {
  constexpr std::array kHeaders = {kIdempotencyKeyHeader, kRequestTimeoutHeader,
                                   kPriorityHeader};
  Headers headers = {{"authorization", "Bearer " + text}};
  headers.emplace(kHeaders.at(choice % kHeaders.size()), text);
  (void)ParseEnvelope(headers);
  (void)ParseCall("POST", text, "{}");
  const auto call = ParseCall("POST", kPaths.at(choice % kPaths.size()), text);
  if (const auto* refusal = std::get_if<refusal::Refusal>(&call)) {
    (void)FormatRefusal(*refusal);
  }
  (void)FormatTextEvent(text);
}

}  // namespace
}  // namespace wagtailshore::http_api

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  if (size > 0) {
    wagtailshore::http_api::ParseAll(data[0],
                                     std::string(data + 1, data + size));
  }
  return 0;
}
