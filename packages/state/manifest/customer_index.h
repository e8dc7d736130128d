#ifndef STATE_MANIFEST_CUSTOMER_INDEX_H_
#define STATE_MANIFEST_CUSTOMER_INDEX_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>

#include "state/manifest/manifest.h"

namespace wagtailshore::manifest {

// Finds a customer by the hash of its key, in a time that does not grow with
// their number. What a caller could learn from the time of a look-up are
// properties of SHA-256 digests, from which no key can be derived.
class CustomerIndex {
 public:
  // Finds nothing.
  CustomerIndex() = default;
  explicit CustomerIndex(const Manifest& manifest);

  // The customer of `manifest`, which is the one that this index was made
  // from, whose key has this hash; or null.
  const Customer* Find(const Manifest& manifest,
                       std::string_view key_sha256) const;

 private:
  // Positions in Manifest::customers by key hash.
  std::unordered_map<std::string, size_t> positions_;
};

}  // namespace wagtailshore::manifest

#endif  // STATE_MANIFEST_CUSTOMER_INDEX_H_
