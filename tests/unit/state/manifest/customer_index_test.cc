#include "state/manifest/customer_index.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "common/digest.h"

namespace wagtailshore::manifest {
namespace {

TEST(CustomerIndexTest, AnEmptyIndexFindsNobody) {
  EXPECT_EQ(CustomerIndex().Find({}, common::Sha256Hex("key")), nullptr);
}

RC_GTEST_PROP(CustomerIndexProperty, FindsEachKeysOwnCustomerAndNoOther, ()) {
  const auto keys = *rc::gen::unique<std::vector<std::string>>(
      rc::gen::arbitrary<std::string>());
  Manifest manifest;
  for (const std::string& key : keys) {
    manifest.customers.push_back(
        {.name = key, .key_sha256 = common::Sha256Hex(key)});
  }
  const CustomerIndex index(manifest);
  for (const std::string& key : keys) {
    const Customer* found = index.Find(manifest, common::Sha256Hex(key));
    RC_ASSERT(found != nullptr && found->name == key);
  }
  const auto other = *rc::gen::arbitrary<std::string>();
  const bool is_customer =
      std::find(keys.begin(), keys.end(), other) != keys.end();
  RC_ASSERT(is_customer ==
            (index.Find(manifest, common::Sha256Hex(other)) != nullptr));
  RC_ASSERT(index.Find(manifest, common::Sha256Hex(other).substr(0, 63)) ==
            nullptr);
}

TEST(CustomerIndexDeathTest, StopsWhenItBelongsToAnotherManifest) {
  Manifest manifest;
  manifest.customers.push_back({.name = "a", .key_sha256 = "11"});
  const CustomerIndex index(manifest);
  manifest.customers[0].key_sha256 = "22";
  EXPECT_DEATH((void)index.Find(manifest, "11"), "invariant violated");
}

}  // namespace
}  // namespace wagtailshore::manifest
