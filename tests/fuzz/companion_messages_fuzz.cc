#include <cstdint>
#include <string>

#include "protocol/companion_messages/companion_messages.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  namespace messages = wagtailshore::companion_messages;
  const std::string text(data, data + size);
  (void)messages::DecodePoll(text);
  (void)messages::DecodeRankState(text);
  (void)messages::DecodeOrder(text);
  (void)messages::DecodeEntry(text);
  (void)messages::DecodeCoordinator(text);
  return 0;
}
