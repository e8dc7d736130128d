#ifndef DAEMON_ENDPOINT_ENGINE_STREAM_H_
#define DAEMON_ENDPOINT_ENGINE_STREAM_H_

#include <optional>
#include <string>
#include <variant>

#include "common/time.h"
#include "protocol/engine_line/engine_line.h"
#include "protocol/messages/messages.h"
#include "transport/http_client/http_client.h"

namespace wagtailshore::endpoint {

using engine_line::EnginePiece;
// The engine refused the request before starting it, or could not be reached.
struct EngineRefused {
  // From the engine's Retry-After header.
  std::optional<common::Duration> retry_after;
};
// The connection to the engine broke, the engine sent nothing in time, or a
// line could not be parsed.
struct EngineFailed {};
using EngineOutcome = std::variant<EnginePiece, EngineRefused, EngineFailed>;

// One generation request to this endpoint's model engine, over HTTP. The answer
// is one JSON object per line.
class EngineStream {
 public:
  EngineStream(const std::string& engine_url,
               const messages::GenerateAttempt& attempt);

  // Waits up to `timeout` for the next piece.
  EngineOutcome Next(common::Duration timeout);

 private:
  http_client::Exchange exchange_;
  std::string buffer_;
};

}  // namespace wagtailshore::endpoint

#endif  // DAEMON_ENDPOINT_ENGINE_STREAM_H_
