#include <cstdint>
#include <string>

#include "common/invariant.h"
#include "coordination/claims/claim_row.h"

// Checks that a row that parses is unchanged after Serialize() and Parse().
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  namespace claims = wagtailshore::claims;
  const auto row = claims::Parse(std::string(data, data + size));
  if (row.ok()) {
    const auto reparsed = claims::Parse(claims::Serialize(*row));
    WS_INVARIANT(reparsed.ok() && *reparsed == *row);
  }
  return 0;
}
