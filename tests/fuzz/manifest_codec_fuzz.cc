#include <cstdint>
#include <string>
#include <variant>

#include "common/invariant.h"
#include "protocol/manifest_codec/manifest_codec.h"

// Checks that a manifest that parses is unchanged after Format() and Parse().
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  namespace codec = wagtailshore::manifest_codec;
  using wagtailshore::manifest::Manifest;
  const auto parsed = codec::Parse(std::string(data, data + size));
  if (const auto* manifest = std::get_if<Manifest>(&parsed)) {
    const auto reparsed = codec::Parse(codec::Format(*manifest));
    const auto* reparsed_manifest = std::get_if<Manifest>(&reparsed);
    WS_INVARIANT(reparsed_manifest != nullptr &&
                 *reparsed_manifest == *manifest);
  }
  return 0;
}
