#include <cstdint>
#include <string>
#include <variant>

#include "common/invariant.h"
#include "protocol/manifest_codec/manifest_codec.h"

// A manifest that parses is the same after Format() and Parse().
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  namespace codec = wagtailshore::manifest_codec;
  using wagtailshore::manifest::Manifest;
  const auto parsed = codec::Parse(std::string(data, data + size));
  if (const auto* manifest = std::get_if<Manifest>(&parsed)) {
    const auto again = codec::Parse(codec::Format(*manifest));
    const auto* same = std::get_if<Manifest>(&again);
    WS_INVARIANT(same != nullptr && *same == *manifest);
  }
  return 0;
}
