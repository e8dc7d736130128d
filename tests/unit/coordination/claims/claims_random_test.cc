#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "absl/strings/str_join.h"
#include "support/claim_world.h"
#include "support/random_calls.h"

namespace wagtailshore::test_support {
namespace {

TEST(ClaimsRandomTest, HoldsEveryPromiseUnderAllFaultsTogether) {
  EXPECT_TRUE(rc::check("claims hold under faults", [] {
    const auto seed = *rc::gen::noShrink(
        rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<uint64_t>()));
    constexpr uint32_t kMaxAttempts = 3;
    ClaimWorld world(
        {.seed = seed,
         .rates = AllFaults(),
         .max_attempts = 1 + static_cast<uint32_t>(seed % kMaxAttempts)});
    RandomCalls(world, seed).Run(common::seconds(60));
    RC_LOG() << absl::StrJoin(world.ledger().violations(), "\n");
    RC_ASSERT(world.ledger().violations().empty());
    RC_ASSERT(!world.ledger().runs().empty());
  }));
}

}  // namespace
}  // namespace wagtailshore::test_support
