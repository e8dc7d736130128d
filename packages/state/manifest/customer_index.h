#ifndef STATE_MANIFEST_CUSTOMER_INDEX_H_
#define STATE_MANIFEST_CUSTOMER_INDEX_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>

#include "state/manifest/manifest.h"

namespace wagtailshore::manifest {

// Finds customers by the hash of their key in constant time. The duration of a
// look-up reveals only properties of SHA-256 digests, from which no key can be
// derived.
class CustomerIndex {
 public:
  // Creates an empty index.
  CustomerIndex() = default;
  explicit CustomerIndex(const Manifest& manifest);

  // Returns the customer whose key has this hash, in lower-case hex digits, or
  // null. `manifest` must be the one that the index was created from.
  const Customer* Find(const Manifest& manifest,
                       std::string_view key_sha256) const;

 private:
  // Positions in Manifest::customers by key hash.
  std::unordered_map<std::string, size_t> positions_;
};

}  // namespace wagtailshore::manifest

#endif  // STATE_MANIFEST_CUSTOMER_INDEX_H_
