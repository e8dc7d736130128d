#include <cstdint>
#include <memory>
#include <string>

#include "protocol/companion_messages/companion_messages.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  namespace messages = wagtailshore::companion_messages;
  const std::string text(data, data + size);
  (void)messages::DecodePoll(text);
  (void)messages::DecodeSlowEngines(text);
  (void)messages::DecodeRankState(text);
  wagtailshore::map_coordinator::MapHistory known;
  known.Add(1, std::make_shared<const wagtailshore::map_coordinator::GroupMap>(
                   wagtailshore::map_coordinator::GroupMap{{{0, 1}, {2}}}));
  (void)messages::DecodeOrder(text, known);
  (void)messages::DecodeEntry(text);
  (void)messages::DecodeCoordinator(text);
  return 0;
}
