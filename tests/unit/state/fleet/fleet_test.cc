#include "state/fleet/fleet.h"

#include <gtest/gtest.h>

namespace wagtailshore::fleet {
namespace {

EndpointRecord Record(const std::string& id,
                      const std::string& address,
                      int64_t started_at_ms = 1) {
  return {.id = id,
          .service = "s",
          .address = address,
          .failure_domain = "d",
          .slots = 4,
          .started_at_ms = started_at_ms};
}

common::Time At(int ms) {
  return common::Time(common::seconds(10) + common::milliseconds(ms));
}

// Applies a list that arrives at once.
FleetChange ReadList(Fleet& fleet,
                     const std::vector<EndpointRecord>& records,
                     common::Time at) {
  return fleet.OnList(records, at, at);
}

TEST(FleetTest, ListedEndpointsAreUsable) {
  Fleet fleet({});
  const FleetChange change =
      ReadList(fleet, {Record("a", "1"), Record("b", "2")}, At(0));
  EXPECT_EQ(change.started, (std::vector<std::string>{"a", "b"}));
  EXPECT_NE(fleet.FindUsable("a"), nullptr);
  EXPECT_EQ(fleet.FindUsable("c"), nullptr);
}

TEST(FleetTest, UnlistedEndpointIsGone) {
  Fleet fleet({});
  ReadList(fleet, {Record("a", "1")}, At(0));
  EXPECT_EQ(ReadList(fleet, {}, At(1000)).gone, std::vector<std::string>{"a"});
  EXPECT_EQ(fleet.Find("a"), nullptr);
}

TEST(FleetTest, DrainingIsNotTakenBack) {
  Fleet fleet({});
  EndpointRecord record = Record("a", "1");
  ReadList(fleet, {record}, At(0));
  record.draining = true;
  EXPECT_EQ(ReadList(fleet, {record}, At(1000)).draining,
            std::vector<std::string>{"a"});
  record.draining = false;
  EXPECT_TRUE(ReadList(fleet, {record}, At(2000)).empty());
  EXPECT_EQ(fleet.FindUsable("a"), nullptr);
}

TEST(FleetTest, AnnouncedLeavingOutlastsTheList) {
  Fleet fleet({});
  ReadList(fleet, {Record("a", "1")}, At(0));
  EXPECT_TRUE(fleet.OnLeaving("a", "a/1", At(10)));
  EXPECT_FALSE(fleet.OnLeaving("a", "a/1", At(20)));
  EXPECT_EQ(fleet.FindUsable("a"), nullptr);
  ReadList(fleet, {Record("a", "1")}, At(1000));
  EXPECT_EQ(fleet.FindUsable("a"), nullptr);
  ReadList(fleet, {}, At(2000));
  ReadList(fleet, {Record("a", "1")}, At(3000));
  EXPECT_EQ(fleet.FindUsable("a"), nullptr);
  ReadList(fleet, {Record("a", "1", 2)}, At(4000));
  EXPECT_NE(fleet.FindUsable("a"), nullptr);
}

TEST(FleetTest, AnnouncementOfAnEarlierProcessDoesNotConcernTheNextOne) {
  Fleet fleet({});
  ReadList(fleet, {Record("a", "1", 2)}, At(0));
  EXPECT_FALSE(fleet.OnLeaving("a", "a/1", At(10)));
  EXPECT_NE(fleet.FindUsable("a"), nullptr);
}

TEST(FleetTest, RestartUnderOneIdIsANewLife) {
  Fleet fleet({});
  EndpointRecord record = Record("a", "1");
  record.draining = true;
  ReadList(fleet, {record}, At(0));
  EXPECT_EQ(ReadList(fleet, {Record("a", "1", 2)}, At(1000)).started,
            std::vector<std::string>{"a"});
  EXPECT_NE(fleet.FindUsable("a"), nullptr);
}

struct OutageCase {
  const char* name;
  // When the list is available again, and when the entry is checked.
  int back_ms;
  int check_ms;
  bool kept;
};

class FleetOutageTest : public testing::TestWithParam<OutageCase> {};

// An entry that lapsed while the list was unavailable may be listed again.
TEST_P(FleetOutageTest, LapsedEntryIsKeptForAWhile) {
  Fleet fleet({.relisting_time = common::milliseconds(2800)});
  ReadList(fleet, {Record("a", "1")}, At(0));
  fleet.OnListUnavailable();
  ReadList(fleet, {}, At(GetParam().back_ms));
  ReadList(fleet, {}, At(GetParam().check_ms));
  EXPECT_EQ(fleet.FindUsable("a") != nullptr, GetParam().kept);
}

INSTANTIATE_TEST_SUITE_P(
    Outages,
    FleetOutageTest,
    testing::Values(OutageCase{"JustBack", 5000, 5500, true},
                    OutageCase{"BackForTwoSeconds", 5000, 7000, true},
                    OutageCase{"BackForLonger", 5000, 7800, false}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against dropping live endpoints too early: a request that waits for
// the end of an outage was sent before it.
TEST(FleetTest, LapsedEntryIsKeptFromTheArrivalOfTheFirstList) {
  Fleet fleet({});
  ReadList(fleet, {Record("a", "1")}, At(0));
  fleet.OnListUnavailable();
  fleet.OnList({}, At(4000), At(4900));
  EXPECT_TRUE(ReadList(fleet, {}, At(6900)).empty());
  EXPECT_NE(fleet.FindUsable("a"), nullptr);
  EXPECT_EQ(ReadList(fleet, {}, At(7100)).gone, std::vector<std::string>{"a"});
}

// An entry that is listed after an outage and removed later did not lapse in
// it.
TEST(FleetTest, EntrySeenSinceTheOutageIsGoneAtOnce) {
  Fleet fleet({});
  ReadList(fleet, {Record("a", "1"), Record("b", "2")}, At(0));
  fleet.OnListUnavailable();
  ReadList(fleet, {Record("a", "1")}, At(1000));
  EXPECT_NE(fleet.FindUsable("b"), nullptr);
  EXPECT_EQ(ReadList(fleet, {}, At(2000)).gone, std::vector<std::string>{"a"});
  EXPECT_NE(fleet.FindUsable("b"), nullptr);
  const auto end = fleet.relisting_ends_at();
  ASSERT_TRUE(end.has_value());
  EXPECT_LE(*end, At(1000 + 2400));
  EXPECT_EQ(ReadList(fleet, {}, *end).gone, std::vector<std::string>{"b"});
  EXPECT_FALSE(fleet.relisting_ends_at().has_value());
}

// When an endpoint leaves after the list went back to an older copy.
struct RestoredCase {
  const char* name;
  // After the return: until then the entry is listed, and when the list is
  // checked.
  int listed_until_ms;
  int check_ms;
  bool kept;
};

class FleetRestoredTest : public testing::TestWithParam<RestoredCase> {};

// Guards against work for an endpoint that was removed after a drill of the
// store, and against dropping live ones while entries are written again.
TEST_P(FleetRestoredTest, EntryIsMissedOnlyWhileItMayBeWrittenAgain) {
  constexpr int kReturnMs = 5000;
  constexpr int kPeriodMs = 200;
  Fleet fleet({});
  ReadList(fleet, {Record("a", "1"), Record("b", "2")}, At(0));
  fleet.OnListRestored(At(kReturnMs));
  for (int ms = 0; ms <= GetParam().check_ms; ms += kPeriodMs) {
    std::vector<EndpointRecord> records = {Record("b", "2")};
    if (ms < GetParam().listed_until_ms) {
      records.push_back(Record("a", "1"));
    }
    ReadList(fleet, records, At(kReturnMs + ms));
  }
  EXPECT_EQ(fleet.FindUsable("a") != nullptr, GetParam().kept);
  EXPECT_NE(fleet.FindUsable("b"), nullptr);
}

INSTANTIATE_TEST_SUITE_P(
    Removals,
    FleetRestoredTest,
    testing::Values(RestoredCase{"LostEntryIsAwaited", 0, 2000, true},
                    RestoredCase{"LapsedEntryIsAwaited", 600, 2000, true},
                    RestoredCase{"NotForLonger", 0, 2400, false},
                    RestoredCase{"RemovedAtOnce", 600, 2400, false},
                    RestoredCase{"RemovedLater", 3000, 3000, false},
                    RestoredCase{"RemovedMuchLater", 5000, 5000, false}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against ignoring a live endpoint that is written again late: it left
// the list after the return, so its entry is no remainder of the copy.
TEST(FleetTest, EndpointListedAgainLateAfterAnOlderCopyIsUsed) {
  Fleet fleet({});
  ReadList(fleet, {Record("a", "1")}, At(0));
  fleet.OnListRestored(At(1000));
  ReadList(fleet, {}, At(1000));
  EXPECT_EQ(ReadList(fleet, {}, At(3300)).gone, std::vector<std::string>{"a"});
  ReadList(fleet, {Record("a", "1")}, At(3500));
  EXPECT_NE(fleet.FindUsable("a"), nullptr);
}

// A process that had left before the list went back stays gone while the copy's
// entry may last, and two times in a row.
TEST(FleetTest, ProcessOfAnOlderCopyStaysGone) {
  Fleet fleet({});
  ReadList(fleet, {Record("a", "1"), Record("b", "2")}, At(0));
  ReadList(fleet, {Record("b", "2")}, At(1000));
  for (const int restored_ms : {2000, 4000}) {
    fleet.OnListRestored(At(restored_ms));
    for (int ms = 0; ms < 2000; ms += 500) {
      ReadList(fleet, {Record("a", "1"), Record("b", "2")},
               At(restored_ms + ms));
      EXPECT_EQ(fleet.FindUsable("a"), nullptr);
    }
  }
  ReadList(fleet, {Record("a", "1"), Record("b", "2")}, At(12'000));
  EXPECT_NE(fleet.FindUsable("a"), nullptr);
}

// After all endpoints restart, the entries of the previous processes are listed
// with the new ones until they lapse.
TEST(FleetTest, OfTwoAtOneAddressOnlyTheLaterIsUsable) {
  Fleet fleet({});
  fleet.OnServices({"s"});
  ReadList(fleet, {Record("old", "1", 1), Record("young", "1", 2)}, At(0));
  EXPECT_EQ(fleet.FindUsable("old"), nullptr);
  EXPECT_NE(fleet.FindUsable("young"), nullptr);
  EXPECT_NE(fleet.Find("old"), nullptr);
}

// Guards against an entry of another writer that makes a live endpoint
// unusable.
TEST(FleetTest, EntryOfAnUnknownServiceDisplacesNobody) {
  Fleet fleet({});
  EndpointRecord odd = Record("odd", "1", 2);
  odd.service = "none";
  // The list may be known before the configuration.
  ReadList(fleet, {Record("a", "1", 1), odd}, At(0));
  fleet.OnServices({"s"});
  ReadList(fleet, {Record("a", "1", 1), odd}, At(1000));
  EXPECT_NE(fleet.FindUsable("a"), nullptr);
  fleet.OnServices({"s", "none"});
  EXPECT_EQ(fleet.FindUsable("a"), nullptr);
}

TEST(FleetTest, MisdirectedEndpointIsNotUsedUntilItStartsAnew) {
  Fleet fleet({});
  ReadList(fleet, {Record("a", "1", 1)}, At(0));
  fleet.OnMisdirected("a");
  EXPECT_EQ(fleet.FindUsable("a"), nullptr);
  ReadList(fleet, {Record("a", "1", 1)}, At(1000));
  EXPECT_EQ(fleet.FindUsable("a"), nullptr);
  ReadList(fleet, {Record("a", "1", 2)}, At(2000));
  EXPECT_NE(fleet.FindUsable("a"), nullptr);
}

}  // namespace
}  // namespace wagtailshore::fleet
