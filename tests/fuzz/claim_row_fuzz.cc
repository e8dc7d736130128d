#include <cstdint>
#include <string>

#include "common/invariant.h"
#include "coordination/claims/claim_row.h"

// A row that parses comes back whole.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  namespace claims = wagtailshore::claims;
  const auto row = claims::Parse(std::string(data, data + size));
  if (row.ok()) {
    const auto again = claims::Parse(claims::Serialize(*row));
    WS_INVARIANT(again.ok() && *again == *row);
  }
  return 0;
}
