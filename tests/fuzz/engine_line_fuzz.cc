#include <cstdint>
#include <string>

#include "protocol/engine_line/engine_line.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  (void)wagtailshore::engine_line::Parse(std::string(data, data + size));
  return 0;
}
