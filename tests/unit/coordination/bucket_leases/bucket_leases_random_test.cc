#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "absl/strings/str_join.h"
#include "support/bucket_world.h"
#include "support/random_calls.h"

namespace wagtailshore::test_support {
namespace {

using Endpoints = RandomCalls::Endpoints;

class BucketLeasesRandomTest : public testing::TestWithParam<Endpoints> {};

TEST_P(BucketLeasesRandomTest, HoldsEveryPromiseUnderAllFaultsTogether) {
  uint64_t steps = 0;
  EXPECT_TRUE(rc::check("bucket leases hold under faults", [&steps] {
    const auto seed = *rc::gen::noShrink(
        rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<uint64_t>()));
    // A short lease, so that buckets are taken over within the run.
    BucketWorld world({.calls = {.seed = seed, .rates = AllFaults()},
                       .lease = common::seconds(20),
                       .drift_bound = common::milliseconds(1300),
                       .clock_error = 0.03});
    world.events().RunUntil(common::Time(common::seconds(5)));
    RandomCalls(world, seed, GetParam()).Run(common::seconds(30));
    steps += world.events().steps();
    RC_LOG() << absl::StrJoin(world.ledger().violations(), "\n");
    RC_ASSERT(world.ledger().violations().empty());
    RC_ASSERT(!world.ledger().runs().empty());
  }));
  EXPECT_GE(steps, 1'000'000U);
  RecordProperty("steps", std::to_string(steps));
}

INSTANTIATE_TEST_SUITE_P(All,
                         BucketLeasesRandomTest,
                         testing::Values(Endpoints::kDie, Endpoints::kDrain),
                         [](const auto& info) {
                           return info.param == Endpoints::kDie ? "Die"
                                                                : "Drain";
                         });

}  // namespace
}  // namespace wagtailshore::test_support
