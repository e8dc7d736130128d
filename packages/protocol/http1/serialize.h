#ifndef PROTOCOL_HTTP1_SERIALIZE_H_
#define PROTOCOL_HTTP1_SERIALIZE_H_

#include <string>
#include <string_view>

#include "protocol/http1/headers.h"

namespace wagtailshore::http1 {

// A whole request. The body's length is set here; none is sent without a body
// unless the method usually has one.
std::string FormatRequest(std::string_view method,
                          std::string_view target,
                          const Headers& headers,
                          std::string_view body);

enum class Persistence { kKeepAlive, kClose };

// A whole response, its length set here.
std::string FormatResponse(int status,
                           const Headers& headers,
                           std::string_view body,
                           Persistence persistence);

// The head of a response whose body follows piece by piece.
enum class BodyFraming { kChunked, kUntilClose };
std::string FormatStreamHead(int status,
                             const Headers& headers,
                             BodyFraming framing,
                             Persistence persistence);
std::string FormatChunk(std::string_view data);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

// The standard reason phrase, or "Status".
std::string_view ReasonOf(int status);

}  // namespace wagtailshore::http1

#endif  // PROTOCOL_HTTP1_SERIALIZE_H_
