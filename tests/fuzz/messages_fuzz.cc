#include <cstdint>
#include <string>

#include "common/invariant.h"
#include "protocol/messages/messages.h"

namespace wagtailshore::messages {
namespace {

// Checks that a message that decodes has the same encoding after it is encoded
// and decoded redecoded.
template <typename Message>
void CheckRoundTrip(absl::StatusOr<Message> (*decode)(std::string_view),
                    const std::string& bytes) {
  const auto message = decode(bytes);
  if (!message.ok()) {
    return;
  }
  const std::string encoded = Encode(*message);
  const auto redecoded = decode(encoded);
  WS_INVARIANT(redecoded.ok() && Encode(*redecoded) == encoded);
}

void CheckAllMessages(const std::string& bytes) {
  CheckRoundTrip(&DecodeGenerateAttempt, bytes);
  CheckRoundTrip(&DecodeCallAttempt, bytes);
  CheckRoundTrip(&DecodeCallReply, bytes);
  CheckRoundTrip(&DecodePeerExchange, bytes);
  CheckRoundTrip(&DecodeFrame, bytes);
}

}  // namespace
}  // namespace wagtailshore::messages

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  wagtailshore::messages::CheckAllMessages(std::string(data, data + size));
  return 0;
}
