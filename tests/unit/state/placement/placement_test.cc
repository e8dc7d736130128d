#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <numeric>

#include "state/placement/expert_load.h"
#include "state/placement/expert_map.h"
#include "state/placement/improver.h"
#include "state/placement/planner.h"

namespace wagtailshore::placement {
namespace {

GroupShape AnyShape() {
  GroupShape shape{.ranks = *rc::gen::inRange(1, 9),
                   .experts = *rc::gen::inRange(1, 25)};
  const int least = (shape.experts + shape.ranks - 1) / shape.ranks;
  shape.slots_per_rank = least + *rc::gen::inRange(0, 3);
  return shape;
}

Loads AnyLoads(const GroupShape& shape) {
  const auto whole = *rc::gen::container<std::vector<int>>(
      static_cast<size_t>(shape.experts), rc::gen::inRange(0, 1000));
  return {whole.begin(), whole.end()};
}

RC_GTEST_PROP(PlacementProperty, APackedMapKeepsTheRules, ()) {
  const GroupShape shape = AnyShape();
  const Loads loads = AnyLoads(shape);
  const ExpertMap map = Pack(shape, loads);
  RC_ASSERT(Check(shape, map) == common::Findings());
  RC_ASSERT(SkewOf(map, loads).slowest >=
            SlowestLowerBound(shape, loads) - 1e-6);
}

RC_GTEST_PROP(PlacementProperty, APlanKeepsTheRulesAndItsBudget, ()) {
  const GroupShape shape = AnyShape();
  const ExpertMap current = Pack(shape, AnyLoads(shape));
  const Loads demand = AnyLoads(shape);
  const uint64_t budget_moves = *rc::gen::inRange(0, 10);
  const PlanOptions options{.expert_bytes = 100,
                            .budget_bytes = 100 * budget_moves};
  const Plan plan = MakePlan(current, {demand}, options);
  RC_ASSERT(Check(shape, plan.map) == common::Findings());
  RC_ASSERT(plan.moves == CountMoves(current, plan.map));
  RC_ASSERT(static_cast<uint64_t>(plan.moves) <= budget_moves);
  if (plan.moves > 0) {
    RC_ASSERT(plan.saved_seconds > plan.cost_seconds);
    RC_ASSERT(SkewOf(plan.map, demand).slowest <
              SkewOf(current, demand).slowest);
  }
}

RC_GTEST_PROP(PlacementProperty, EachStepRelievesTheSlowestRank, ()) {
  const GroupShape shape = AnyShape();
  const Loads loads = AnyLoads(shape);
  Improver improver(Pack(shape, AnyLoads(shape)), {loads});
  double slowest = SkewOf(improver.map(), loads).slowest;
  for (int step = 0; step < 20 && improver.Step() > 0; ++step) {
    RC_ASSERT(Check(shape, improver.map()) == common::Findings());
    const double next = SkewOf(improver.map(), loads).slowest;
    RC_ASSERT(next <= slowest + 1e-9);
    slowest = next;
  }
}

struct MapCase {
  const char* name;
  std::vector<std::vector<int>> ranks;
  size_t findings;
};

class MapCheckTest : public testing::TestWithParam<MapCase> {};

TEST_P(MapCheckTest, FindsWhatBreaksTheRules) {
  const GroupShape shape{.ranks = 2, .experts = 3, .slots_per_rank = 2};
  EXPECT_EQ(Check(shape, {GetParam().ranks}).size(), GetParam().findings);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    MapCheckTest,
    testing::Values(MapCase{"Good", {{0, 1}, {2, 1}}, 0},
                    MapCase{"EmptySlot", {{0, 1}, {2}}, 0},
                    MapCase{"TwiceOnARank", {{1, 1}, {2, 0}}, 1},
                    MapCase{"OverFull", {{0, 1, 2}, {2, 0}}, 1},
                    MapCase{"NotPlaced", {{0, 1}, {1, 0}}, 1},
                    MapCase{"Unknown", {{0, 1}, {2, 3}}, 1},
                    MapCase{"RankMissing", {{0, 1}}, 2},
                    MapCase{"NoRank", {}, 2}),
    [](const auto& info) { return info.param.name; });

TEST(LowestSlowestTest, SplitsOneHotExpertOverTheSlots) {
  // With four slots, expert 0 has at most three replicas with a load of 4 each;
  // the mean load is 3.25.
  const GroupShape shape{.ranks = 4, .experts = 2, .slots_per_rank = 1};
  EXPECT_NEAR(SlowestLowerBound(shape, {12, 1}), 4 / 3.25, 1e-6);
}

TEST(ExpertLoadTest, HalvesAnObservationPerHalfLife) {
  ExpertLoad load({.experts = 1, .half_life = common::seconds(10)});
  common::Time now{};
  load.Observe({8}, now);
  load.Observe({0}, now + common::seconds(20));
  EXPECT_DOUBLE_EQ(load.average().at(0), 2);
}

TEST(MixMemoryTest, ExpectsOnlyAMixThatCameBack) {
  MixMemory memory({});
  const Loads first = {1, 0};
  const Loads second = {0, 1};
  common::Time now{};
  memory.Observe(first, now);
  memory.Observe(second, now);
  EXPECT_EQ(memory.Expected(), Scenarios({second}));
  memory.Observe(first, now);
  EXPECT_EQ(memory.Expected(), Scenarios({first}));
  memory.Observe(second, now);
  EXPECT_EQ(memory.Expected(), Scenarios({second, first}));
  memory.Observe(second, now + common::seconds(2 * 3600));
  EXPECT_EQ(memory.Expected(), Scenarios({second}));
}

struct WorthCase {
  const char* name;
  PlanOptions options;
  bool moves;
};

class WorthTest : public testing::TestWithParam<WorthCase> {};

// Expert 0 has most of the load; one move would split it over two ranks.
TEST_P(WorthTest, MovesOnlyWhatIsWorthIt) {
  const ExpertMap map{.ranks = {{0, 1}, {2, 1}}};
  const Loads loads = {10, 2, 2};
  EXPECT_EQ(MakePlan(map, {loads}, GetParam().options).moves > 0,
            GetParam().moves);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    WorthTest,
    testing::Values(
        WorthCase{"Cheap", {}, true},
        WorthCase{"StoreTooSlow", {.store_bytes_per_second = 10'000}, false},
        WorthCase{"SkewWeighsMore",
                  {.skew_weight = 100, .store_bytes_per_second = 10'000},
                  true},
        WorthCase{"CostWeighsMore", {.cost_weight = 1e5}, false},
        WorthCase{"ShortHorizon", {.horizon = common::milliseconds(10)}, false},
        WorthCase{"NoBudget", {.budget_bytes = 0}, false},
        WorthCase{"WithinNoise", {.min_gain = 1}, false}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace wagtailshore::placement
