#ifndef PROTOCOL_HTTP_API_HTTP_API_H_
#define PROTOCOL_HTTP_API_HTTP_API_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "common/finding.h"
#include "common/time.h"
#include "state/refusal/refusal.h"

// The HTTP interface that callers use, as plain values.
namespace wagtailshore::http_api {

// Keys in lower case.
using Headers = std::map<std::string, std::string>;

inline constexpr std::string_view kIdempotencyKeyHeader = "idempotency-key";
inline constexpr std::string_view kRequestTimeoutHeader = "request-timeout";
inline constexpr std::string_view kPriorityHeader = "priority";
inline constexpr std::string_view kReplayedHeader = "Idempotent-Replayed";

inline constexpr size_t kMaxIdempotencyKeyBytes = 255;
inline constexpr common::Duration kDefaultTimeout = common::seconds(60);
inline constexpr common::Duration kMaxTimeout = common::seconds(3600);
inline constexpr uint64_t kMaxTokens = 1 << 20;

// What any request carries beside its body.
struct Envelope {
  // SHA-256 of the bearer key, hexadecimal; the key itself is not kept.
  std::string key_sha256;
  // Empty without one.
  std::string idempotency_key;
  common::Duration timeout = kDefaultTimeout;
  // Empty without one: the customer's own priority applies.
  std::string priority;
};

// POST /v1/models/MODEL/generate
struct GenerateCall {
  std::string model;
  std::string prompt;
  uint64_t max_tokens = 256;
  // Server-sent events instead of one JSON body.
  bool stream = false;
};

// POST /v1/services/SERVICE/call
struct ServiceCall {
  std::string service;
  std::string call;
  // The service's own input, JSON text.
  std::string body;
};

// GET /v1/outcomes with an Idempotency-Key
struct OutcomeLookup {};

using Call = std::variant<GenerateCall, ServiceCall, OutcomeLookup>;

std::variant<Envelope, refusal::Refusal> ParseEnvelope(const Headers& headers);

std::variant<Call, refusal::Refusal> ParseCall(std::string_view method,
                                               std::string_view path,
                                               std::string_view body);

// The JSON body of a refusal.
std::string FormatRefusal(const refusal::Refusal& refusal);

// The value of Retry-After, whole seconds rounded up.
std::optional<std::string> RetryAfterSeconds(const refusal::Refusal& refusal);

// One server-sent event with a piece of the answer, its last one, or the
// refusal that ends the stream early.
std::string FormatTextEvent(std::string_view text);
std::string FormatDoneEvent(uint64_t tokens);
std::string FormatRefusalEvent(const refusal::Refusal& refusal);

// The body of an answer that is not streamed.
std::string FormatAnswer(std::string_view text, uint64_t tokens);

}  // namespace wagtailshore::http_api

#endif  // PROTOCOL_HTTP_API_HTTP_API_H_
