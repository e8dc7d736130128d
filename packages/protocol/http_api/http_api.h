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

// Parses requests to the callers' HTTP API and formats its responses. Does no
// I/O.
namespace wagtailshore::http_api {

// Header values by name; names are in lower case.
using Headers = std::map<std::string, std::string>;

inline constexpr std::string_view kIdempotencyKeyHeader = "idempotency-key";
inline constexpr std::string_view kRequestTimeoutHeader = "request-timeout";
inline constexpr std::string_view kPriorityHeader = "priority";
inline constexpr std::string_view kReplayedHeader = "Idempotent-Replayed";

inline constexpr size_t kMaxIdempotencyKeyBytes = 255;
inline constexpr common::Duration kDefaultTimeout = common::seconds(60);
inline constexpr common::Duration kMaxTimeout = common::seconds(3600);
inline constexpr uint64_t kMaxTokens = 1 << 20;

// Values that the headers of every request carry.
struct Envelope {
  // Hexadecimal SHA-256 of the bearer key; the key itself is not stored.
  std::string key_sha256;
  // Empty if the request has none.
  std::string idempotency_key;
  common::Duration timeout = kDefaultTimeout;
  // Empty if the request has none; the customer's own priority then applies.
  std::string priority;
};

// POST /v1/models/MODEL/generate
struct GenerateCall {
  std::string model;
  std::string prompt;
  uint64_t max_tokens = 256;
  // Whether to answer with server-sent events instead of one JSON body.
  bool stream = false;
};

// POST /v1/services/SERVICE/call
struct ServiceCall {
  std::string service;
  std::string call;
  // JSON text of the service's input.
  std::string body;
};

// GET /v1/outcomes with an Idempotency-Key header
struct OutcomeLookup {};

using Call = std::variant<GenerateCall, ServiceCall, OutcomeLookup>;

std::variant<Envelope, refusal::Refusal> ParseEnvelope(const Headers& headers);

std::variant<Call, refusal::Refusal> ParseCall(std::string_view method,
                                               std::string_view path,
                                               std::string_view body);

// Returns the JSON body of a refusal.
std::string FormatRefusal(const refusal::Refusal& refusal);

// Returns the value of Retry-After in whole seconds, rounded up, or nullopt if
// the refusal has no retry time.
std::optional<std::string> RetryAfterSeconds(const refusal::Refusal& refusal);

// Each returns one server-sent event: a piece of the answer, the end of a
// complete answer, or the refusal that ends the stream early.
std::string FormatTextEvent(std::string_view text);
std::string FormatDoneEvent(uint64_t tokens);
std::string FormatRefusalEvent(const refusal::Refusal& refusal);

// Returns the JSON body of an answer that is not streamed.
std::string FormatAnswer(std::string_view text, uint64_t tokens);

}  // namespace wagtailshore::http_api

#endif  // PROTOCOL_HTTP_API_HTTP_API_H_
