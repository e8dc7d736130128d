#include "protocol/companion_messages/companion_messages.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <utility>
#include <variant>

#include "common/msgpack.h"

namespace wagtailshore::companion_messages {
namespace {

TEST(CompanionMessagesTest, StateComesBack) {
  const RankState state{
      .group = "g",
      .rank = 3,
      .ranks = 12,
      .report = {.epoch = 2,
                 .open = true,
                 .step = 9,
                 .map_version = 5,
                 .prepared = 6,
                 .armed = map_coordinator::ArmedMap{.version = 6, .step = 11},
                 .held_step = 11},
      .choices = std::vector<uint64_t>{1, 2, 3},
      .experts = std::vector<std::vector<int>>{{0, 1}, {2, 3}}};
  const auto decoded = DecodeRankState(EncodeRankState(state));
  ASSERT_TRUE(decoded.ok()) << decoded.status().message();
  EXPECT_EQ(decoded->group, "g");
  EXPECT_EQ(decoded->report, state.report);
  EXPECT_EQ(decoded->choices, state.choices);
  EXPECT_EQ(decoded->experts, state.experts);
}

TEST(CompanionMessagesTest, SlowEnginesComeBack) {
  const std::vector<std::string> engines = {"10.0.0.1:80", "10.0.0.2:80"};
  const auto decoded = DecodeSlowEngines(EncodeSlowEngines(engines));
  ASSERT_TRUE(decoded.ok()) << decoded.status().message();
  EXPECT_EQ(*decoded, engines);
  const auto poll = DecodePoll(EncodePoll({.slow_engines = engines}));
  ASSERT_TRUE(poll.ok()) << poll.status().message();
  EXPECT_EQ(poll->slow_engines, engines);
}

TEST(CompanionMessagesTest, EveryOrderComesBack) {
  using map_coordinator::OrderBody;
  const auto map = std::make_shared<const map_coordinator::GroupMap>(
      map_coordinator::GroupMap{{{0, 1}, {2}}});
  const std::vector<OrderBody> bodies = {
      map_coordinator::PrepareMap{.version = 7, .map = map},
      map_coordinator::ArmMap{.version = 7, .step = 8},
      map_coordinator::DisarmMap{.version = 7},
      map_coordinator::HoldStep{.step = 8},
      map_coordinator::ReleaseStep{.step = 8}};
  for (const OrderBody& body : bodies) {
    const auto decoded = DecodeOrder(
        EncodeOrder(
            {.id = 1, .rank = 2, .epoch = 3, .generation = 4, .body = body},
            EncodeMap(*map)),
        {});
    ASSERT_TRUE(decoded.ok()) << decoded.status().message();
    EXPECT_EQ(decoded->body.index(), body.index());
    EXPECT_EQ(decoded->generation, 4U);
  }
  const auto prepare =
      DecodeOrder(EncodeOrder({.body = bodies.front()}, EncodeMap(*map)), {});
  EXPECT_EQ(*std::get<map_coordinator::PrepareMap>(prepare->body).map, *map);
}

// Sorts each rank's experts in ascending order.
void SortExperts(map_coordinator::GroupMap& map) {
  for (auto& layer : map) {
    for (auto& rank : layer) {
      std::sort(rank.begin(), rank.end());
    }
  }
}

// A map of 8 layers, 63 ranks and 5 experts each.
map_coordinator::GroupMap LargeMap() {
  map_coordinator::GroupMap map(8);
  for (size_t layer = 0; layer < map.size(); ++layer) {
    for (int rank = 0; rank < 63; ++rank) {
      const int first = rank * 4;
      map[layer].push_back(
          {first, first + 1, first + 2, first + 3, (first + 131) % 252});
    }
  }
  SortExperts(map);
  return map;
}

TEST(CompanionMessagesTest, ChangesOfAKnownMapComeBackWhole) {
  const map_coordinator::GroupMap base = LargeMap();
  auto map = std::make_shared<map_coordinator::GroupMap>(base);
  // Changes 300 slots, as after a shift of demand.
  for (int i = 0; i < 300; ++i) {
    (*map)[i % 8][i % 63][i % 5] = (i * 7) % 252;
  }
  SortExperts(*map);
  const std::string changes = EncodeMapChanges(6, base, *map);
  EXPECT_LT(changes.size(), 1200U);
  EXPECT_GT(EncodeMap(*map).size(), 3600U);
  const std::string text = EncodeOrder(
      {.body = map_coordinator::PrepareMap{.version = 7, .map = map}}, changes);
  map_coordinator::MapHistory known;
  known.Add(6, std::make_shared<const map_coordinator::GroupMap>(base));
  const auto decoded = DecodeOrder(text, known);
  ASSERT_TRUE(decoded.ok()) << decoded.status().message();
  EXPECT_EQ(*std::get<map_coordinator::PrepareMap>(decoded->body).map, *map);
}

TEST(CompanionMessagesTest, MapsOfOtherShapesHaveNoChanges) {
  const map_coordinator::GroupMap map = {{{0, 1}, {2, 3}}};
  const std::vector<map_coordinator::GroupMap> others = {
      {}, {{{0, 1}}}, {{{0, 1}, {2}}}, {{{0, 1}, {2, 3}}, {{0, 1}, {2, 3}}}};
  for (const map_coordinator::GroupMap& base : others) {
    EXPECT_EQ(EncodeMapChanges(1, base, map), "");
  }
}

// If one rank used a different map from the others, the group's steps would
// fail.
TEST(CompanionMessagesTest, ChangesOfAnotherMapAreRefused) {
  const map_coordinator::GroupMap base = LargeMap();
  auto map = std::make_shared<map_coordinator::GroupMap>(base);
  (*map)[0][0].back() = 250;
  SortExperts(*map);
  const std::string text = EncodeOrder(
      {.body = map_coordinator::PrepareMap{.version = 7, .map = map}},
      EncodeMapChanges(6, base, *map));
  map_coordinator::GroupMap other = base;
  other[3][3].back() = 1;
  const std::vector<std::pair<uint64_t, map_coordinator::GroupMap>> known_maps =
      {{5, base}, {6, other}, {6, {{}}}, {6, {}}};
  for (const auto& [version, known_map] : known_maps) {
    map_coordinator::MapHistory known;
    known.Add(version,
              std::make_shared<const map_coordinator::GroupMap>(known_map));
    EXPECT_TRUE(absl::IsFailedPrecondition(DecodeOrder(text, known).status()));
  }
}

struct OtherTypeCase {
  const char* name;
  const char* field;
  nlohmann::json value;
};

class OtherTypeTest : public testing::TestWithParam<OtherTypeCase> {};

// Guards against conversions of the JSON library: a truth or a negative number
// would become a fencing number.
TEST_P(OtherTypeTest, IsRefused) {
  nlohmann::json fields = {{"generation", 4}, {"choices", false},
                           {"map", false},    {"slow", nlohmann::json::array()},
                           {"era", 1},        {"peer", "127.0.0.1:1"}};
  EXPECT_TRUE(DecodePoll(common::PackMsgpack(fields)).ok());
  EXPECT_TRUE(DecodeCoordinator(common::PackMsgpack(fields)).ok());
  fields[GetParam().field] = GetParam().value;
  const std::string text = common::PackMsgpack(fields);
  EXPECT_FALSE(DecodePoll(text).ok() && DecodeCoordinator(text).ok());
}

INSTANTIATE_TEST_SUITE_P(
    Fields,
    OtherTypeTest,
    testing::Values(OtherTypeCase{"GenerationTrue", "generation", true},
                    OtherTypeCase{"GenerationNegative", "generation", -1},
                    OtherTypeCase{"GenerationFraction", "generation", 4.5},
                    OtherTypeCase{"GenerationNull", "generation", nullptr},
                    OtherTypeCase{"EraNegative", "era", -1},
                    OtherTypeCase{"EraNull", "era", nullptr},
                    OtherTypeCase{"ChoicesNumber", "choices", 1},
                    OtherTypeCase{"SlowNull", "slow", nullptr},
                    OtherTypeCase{"PeerNull", "peer", nullptr}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(CompanionMessagesTest, OtherBytesAreRefused) {
  for (const char* text : {"", "\xc1", "hello", "\x80", "\x81\xa4kind\xa1x"}) {
    EXPECT_FALSE(DecodeOrder(text, {}).ok());
    EXPECT_FALSE(DecodeRankState(text).ok());
    EXPECT_FALSE(DecodePoll(text).ok());
    EXPECT_FALSE(DecodeSlowEngines(text).ok());
    EXPECT_FALSE(DecodeEntry(text).ok());
    EXPECT_FALSE(DecodeCoordinator(text).ok());
  }
}

}  // namespace
}  // namespace wagtailshore::companion_messages
