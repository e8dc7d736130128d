#include <gtest/gtest.h>

#include "common/strings.h"
#include "support/hosted_world.h"

// The store comes back from an older copy of itself: what was written since is
// lost, and revisions are used again.
namespace wagtailshore::hosted_world {
namespace {

using nlohmann::json;

json WithoutKey(int version) {
  json configuration = HostedWorld::Configuration(version);
  configuration["tenants"][0]["api_keys"] = {"other"};
  return configuration;
}

// Gateways read the list each 1.6 s.
constexpr common::Duration kTwoReadsOfTheList = common::milliseconds(3500);

// Within this time after the return keys are accepted again: 0.6 s until the
// gateway finds it, and 2.2 s in which nothing confirms the configuration.
constexpr common::Duration kAcceptedAgain = common::milliseconds(3100);

int StatusOf(HostedWorld& world, const std::string& key) {
  return world.Ask({.key = key}).status;
}

// Guards against a gateway that follows its feed from a revision that the store
// uses again: it would miss the change, or take an older configuration.
TEST(StoreRestoredTest, RevokedKeyStaysRevokedAndLaterChangesAreRead) {
  HostedWorld world(1);
  world.store().TakeCopy();
  world.store().SetConfiguration(WithoutKey(2));
  ASSERT_TRUE(world.RunUntil([&] { return StatusOf(world, "key") == 401; }));
  world.store().RestoreCopy();
  // Enough time to read the older configuration.
  const common::Time end = world.loop().Now() + common::milliseconds(300);
  while (world.loop().Now() < end) {
    ASSERT_EQ(StatusOf(world, "key"), 401);
  }
  // Gets the revision of the change that was lost.
  json changed = WithoutKey(3);
  changed["tenants"][0]["api_keys"] = {"third"};
  world.store().SetConfiguration(changed);
  EXPECT_TRUE(world.RunUntil([&] { return StatusOf(world, "third") == 200; }));
  EXPECT_EQ(StatusOf(world, "key"), 401);
}

// Guards against sending work to an endpoint again whose draining or removal
// the store has lost.
TEST(StoreRestoredTest, LeavingEndpointStaysLeaving) {
  for (const bool removed : {false, true}) {
    HostedWorld world(2);
    world.store().TakeCopy();
    if (removed) {
      world.store().RemoveEndpoint("e0");
    } else {
      world.store().SetEndpoint(
          "e0", HostedWorld::EndpointEntry(world.endpoint(0).address(), 1,
                                           "draining"));
    }
    world.RunFor(kTwoReadsOfTheList);
    const size_t before = world.endpoint(0).received().size();
    world.store().RestoreCopy();
    world.RunFor(kTwoReadsOfTheList);
    for (int i = 0; i < 20; ++i) {
      EXPECT_EQ(world.Ask({.id = common::StrCat("c", i)}).status, 200);
    }
    EXPECT_EQ(world.endpoint(0).received().size(), before)
        << (removed ? "removed" : "draining");
  }
}

// When the store is back after a revocation that it has lost, and when the
// operators write that again.
struct RevocationCase {
  const char* name;
  int back_ms;
  int rewritten_ms;
};

std::ostream& operator<<(std::ostream& out, const RevocationCase& param) {
  return out << param.name;
}

class LostRevocationTest : public testing::TestWithParam<RevocationCase> {};

// Guards against accepting a key beyond its revocation bound, because the older
// copy's configuration counts as current before the operators have written the
// lost one again.
TEST_P(LostRevocationTest, KeyIsRefusedInTime) {
  constexpr common::Duration kRevocationBound = common::seconds(5);
  HostedWorld world(
      {.revocation_bound = kRevocationBound, .feed_wait = common::seconds(10)});
  world.store().TakeCopy();
  // The gateway does not read the change before the store goes away.
  world.store().set_silent(true);
  world.store().SetConfiguration(WithoutKey(2));
  const common::Time revoked_at = world.loop().Now();
  world.store().set_silent(false);
  world.store().set_down(true);
  world.RunUntilTime(revoked_at + common::milliseconds(GetParam().back_ms));
  world.store().RestoreCopy();
  world.store().set_down(false);
  world.loop().RunAt(revoked_at + common::milliseconds(GetParam().rewritten_ms),
                     [&] { world.store().SetConfiguration(WithoutKey(3)); });
  world.RunUntilTime(revoked_at + kRevocationBound);
  const common::Time end = world.loop().Now() + common::seconds(2);
  while (world.loop().Now() < end) {
    EXPECT_NE(StatusOf(world, "key"), 200);
    world.RunFor(common::milliseconds(20));
  }
  // A key that is still valid is accepted again, as soon as without a change.
  world.RunUntilTime(revoked_at + common::milliseconds(GetParam().back_ms) +
                     kAcceptedAgain);
  EXPECT_EQ(StatusOf(world, "other"), 200);
}

INSTANTIATE_TEST_SUITE_P(
    Drills,
    LostRevocationTest,
    testing::Values(RevocationCase{"AwayForLong", 4200, 6200},
                    RevocationCase{"AwayForLess", 3300, 5300},
                    RevocationCase{"WrittenAtOnce", 4200, 4300}),
    [](const auto& info) { return std::string(info.param.name); });

// The other side: without a change, keys are accepted again once lost changes
// would have been written again.
TEST(StoreRestoredTest, KeysAreAcceptedAgainAfterADrill) {
  HostedWorld world({.revocation_bound = common::seconds(5),
                     .feed_wait = common::seconds(10)});
  world.store().TakeCopy();
  world.store().set_down(true);
  world.RunFor(common::milliseconds(4200));
  world.store().RestoreCopy();
  world.store().set_down(false);
  world.RunFor(kAcceptedAgain);
  EXPECT_EQ(StatusOf(world, "key"), 200);
  EXPECT_TRUE(world.gateway().IsReady());
}

// A change after the return is in force at once, also while the configuration
// confirms nothing.
TEST(StoreRestoredTest, ChangeAfterTheReturnIsInForceAtOnce) {
  HostedWorld world({.feed_wait = common::seconds(10)});
  world.store().TakeCopy();
  world.store().RestoreCopy();
  world.RunFor(common::milliseconds(300));
  world.store().SetConfiguration(WithoutKey(2));
  world.RunFor(common::milliseconds(800));
  EXPECT_EQ(StatusOf(world, "key"), 401);
}

// Guards against work for an endpoint that is removed once the store is stable
// again: its entry was listed after the return, so it is not one that was lost.
TEST(StoreRestoredTest, EndpointRemovedLaterGetsNothing) {
  // Of the platform's contract: the store is stable this long after its return,
  // and a removal must be known this long after it.
  constexpr common::Duration kStabilityWindow = common::seconds(3);
  constexpr common::Duration kDrainBound = common::seconds(2);
  HostedWorld world(2);
  world.store().TakeCopy();
  world.store().RestoreCopy();
  world.RunFor(kStabilityWindow);
  world.store().RemoveEndpoint("e0");
  world.RunFor(kDrainBound);
  const size_t before = world.endpoint(0).received().size();
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(world.Ask({.id = common::StrCat("d", i)}).status, 200);
  }
  EXPECT_EQ(world.endpoint(0).received().size(), before);
}

// Endpoints that the older copy lacks stay in use until they are listed again.
TEST(StoreRestoredTest, LiveEndpointsStayInUse) {
  HostedWorld world({.endpoints = 1, .revocation_bound = common::seconds(60)});
  const json entry =
      HostedWorld::EndpointEntry(world.endpoint(0).address(), /*born=*/1);
  world.store().RemoveEndpoint("e0");
  world.store().TakeCopy();
  world.store().SetEndpoint("e0", entry);
  world.store().RestoreCopy();
  EXPECT_EQ(world.CountUnserved(common::milliseconds(1900)), 0);
  world.store().SetEndpoint("e0", entry);
  EXPECT_EQ(world.CountUnserved(kTwoReadsOfTheList), 0);
}

// Guards against losing what gateways wrote: each writes its rows again.
TEST(StoreRestoredTest, GatewaysRegisterAgain) {
  HostedWorld world(HostedWorldOptions{.gateways = 3});
  world.store().TakeCopy();
  ASSERT_TRUE(
      world.RunUntil([&] { return world.store().rows("gateways") == 3; }));
  for (int i = 0; i < 2; ++i) {
    world.store().RestoreCopy();
    EXPECT_TRUE(
        world.RunUntil([&] { return world.store().rows("gateways") == 3; }));
  }
}

}  // namespace
}  // namespace wagtailshore::hosted_world
