#include "state/manifest/customer_index.h"

#include "common/digest.h"
#include "common/invariant.h"

namespace wagtailshore::manifest {

CustomerIndex::CustomerIndex(const Manifest& manifest) {
  positions_.reserve(manifest.customers.size());
  for (size_t i = 0; i < manifest.customers.size(); ++i) {
    positions_.emplace(manifest.customers[i].key_sha256, i);
  }
}

const Customer* CustomerIndex::Find(const Manifest& manifest,
                                    std::string_view key_sha256) const {
  const auto found = positions_.find(std::string(key_sha256));
  if (found == positions_.end()) {
    return nullptr;
  }
  WS_INVARIANT(found->second < manifest.customers.size())
      << "the index belongs to this manifest";
  const Customer& customer = manifest.customers[found->second];
  WS_INVARIANT(common::ConstantTimeEquals(customer.key_sha256, key_sha256))
      << "a request is served as the customer whose key it carries";
  return &customer;
}

}  // namespace wagtailshore::manifest
