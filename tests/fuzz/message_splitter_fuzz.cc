#include <cstdint>
#include <string>

#include "common/invariant.h"
#include "protocol/messages/messages.h"

// The first byte plus one is the size of the pieces in which the rest arrives.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  if (size == 0) {
    return 0;
  }
  constexpr size_t kMaxMessageBytes = 256;
  const size_t piece = size_t{data[0]} + 1;
  const std::string bytes(data + 1, data + size);
  wagtailshore::messages::MessageSplitter splitter(kMaxMessageBytes);
  for (size_t offset = 0; offset < bytes.size(); offset += piece) {
    splitter.Append(bytes.substr(offset, piece));
    for (auto next = splitter.Next(); next.ok() && next->has_value();
         next = splitter.Next()) {
      WS_INVARIANT((*next)->size() <= kMaxMessageBytes);
    }
  }
  return 0;
}
