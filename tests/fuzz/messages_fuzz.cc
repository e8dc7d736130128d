#include <cstdint>
#include <string>

#include "common/invariant.h"
#include "protocol/messages/messages.h"

namespace wagtailshore::messages {
namespace {

// A message that decodes is the same after being encoded and decoded again.
template <typename Message>
void Try(absl::StatusOr<Message> (*decode)(std::string_view),
         const std::string& bytes) {
  const auto message = decode(bytes);
  if (!message.ok()) {
    return;
  }
  const std::string encoded = Encode(*message);
  const auto again = decode(encoded);
  WS_INVARIANT(again.ok() && Encode(*again) == encoded);
}

}  // namespace
}  // namespace wagtailshore::messages

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace wagtailshore::messages;
  const std::string bytes(data, data + size);
  Try(&DecodeGenerateAttempt, bytes);
  Try(&DecodeCallAttempt, bytes);
  Try(&DecodeCallReply, bytes);
  Try(&DecodePeerExchange, bytes);
  Try(&DecodeFrame, bytes);
  return 0;
}
