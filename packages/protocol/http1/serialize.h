#ifndef PROTOCOL_HTTP1_SERIALIZE_H_
#define PROTOCOL_HTTP1_SERIALIZE_H_

#include <string>
#include <string_view>

#include "protocol/http1/headers.h"

namespace wagtailshore::http1 {

// Returns the head of a request whose body has `body_bytes`. Adds
// Content-Length, unless the body is empty and the method is neither POST nor
// PUT.
std::string FormatRequestHead(std::string_view method,
                              std::string_view target,
                              const Headers& headers,
                              size_t body_bytes);
// Returns a complete request.
std::string FormatRequest(std::string_view method,
                          std::string_view target,
                          const Headers& headers,
                          std::string_view body);

enum class Persistence { kKeepAlive, kClose };

// Returns the head of a response whose body has `body_bytes`.
std::string FormatResponseHead(int status,
                               const Headers& headers,
                               size_t body_bytes,
                               Persistence persistence);
// Returns a complete response.
std::string FormatResponse(int status,
                           const Headers& headers,
                           std::string_view body,
                           Persistence persistence);

enum class BodyFraming { kChunked, kUntilClose };
// Returns the head of a response whose body is sent in pieces afterwards.
std::string FormatStreamHead(int status,
                             const Headers& headers,
                             BodyFraming framing,
                             Persistence persistence);
std::string FormatChunk(std::string_view data);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

// Returns the standard reason phrase, or "Status" if the status is not known.
std::string_view ReasonOf(int status);

}  // namespace wagtailshore::http1

#endif  // PROTOCOL_HTTP1_SERIALIZE_H_
