#include "state/expert_demand/expert_demand.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "state/expert_demand/rebalance.h"

namespace wagtailshore::expert_demand {
namespace {

using placement::ExpertMap;
using placement::Loads;

const common::Time kStart{common::seconds(100)};

constexpr int kRanks = 12;
constexpr int kExperts = 72;
constexpr RebalanceOptions kOptions = {.slots_per_rank = 8,
                                       .max_new_per_rank = 3};

TEST(ChoiceCounterTest, ChoicesAreWhatWasCountedSince) {
  ChoiceCounter counter;
  EXPECT_EQ(counter.Update({100, 5}), (std::vector<uint64_t>{0, 0}));
  EXPECT_EQ(counter.Update({104, 5}), (std::vector<uint64_t>{4, 0}));
}

// A restarted engine counts from 0; the difference to the old counters is not
// demand.
TEST(ChoiceCounterTest, CountersThatBeganAnewAreNotTakenForChoices) {
  ChoiceCounter counter;
  counter.Update({100, 5});
  EXPECT_EQ(counter.Update({40, 90}), (std::vector<uint64_t>{0, 0}));
  EXPECT_EQ(counter.Update({50, 90}), (std::vector<uint64_t>{10, 0}));
}

TEST(ExpertDemandTest, ChoicesAreSummedOverRanks) {
  ExpertDemand demand({.layers = 1, .experts = 2});
  demand.OnChoices({40, 0});
  demand.OnChoices({10, 0});
  EXPECT_FALSE(demand.CloseRound(kStart));
  EXPECT_EQ(demand.loads().front(), (Loads{50, 0}));
}

TEST(ExpertDemandTest, ChoicesOfAnotherShapeAreLeftOut) {
  ExpertDemand demand({.layers = 1, .experts = 2});
  demand.OnChoices({40, 0, 70});
  demand.CloseRound(kStart);
  EXPECT_EQ(demand.total(), 0);
}

TEST(ExpertDemandTest, OldChoicesFade) {
  ExpertDemand demand(
      {.layers = 1, .experts = 1, .half_life = common::milliseconds(200)});
  demand.OnChoices({100});
  demand.CloseRound(kStart);
  demand.OnChoices({100});
  demand.CloseRound(kStart + common::milliseconds(400));
  EXPECT_NEAR(demand.total(), 125, 1e-6);
}

// A round with too few choices goes on.
TEST(ExpertDemandTest, FewChoicesAreKeptForTheNextRound) {
  ExpertDemand demand({.layers = 1, .experts = 2, .min_choices_per_expert = 4});
  demand.OnChoices({7, 0});
  demand.CloseRound(kStart);
  EXPECT_EQ(demand.total(), 0);
  demand.OnChoices({0, 1});
  demand.CloseRound(kStart + common::milliseconds(100));
  EXPECT_EQ(demand.loads().front(), (Loads{7, 1}));
}

// Returns the counts of random choices in one layer with these shares.
std::vector<uint64_t> Draw(const Loads& shares,
                           int choices,
                           std::mt19937_64& random) {
  std::discrete_distribution<size_t> expert(shares.begin(), shares.end());
  std::vector<uint64_t> counts(shares.size());
  for (int i = 0; i < choices; ++i) {
    ++counts[expert(random)];
  }
  return counts;
}

// Returns loads by Zipf's law; the seed decides which experts are popular.
Loads SkewedLoads(uint64_t seed) {
  Loads loads(kExperts);
  for (int i = 0; i < kExperts; ++i) {
    loads[i] = 1000.0 / (1 + i);
  }
  std::mt19937_64 random(seed);
  std::shuffle(loads.begin(), loads.end(), random);
  return loads;
}

// Places every expert on one rank, round-robin, and leaves slots free.
ExpertMap FirstMap() {
  ExpertMap map{.ranks = std::vector<std::vector<int>>(kRanks)};
  for (int expert = 0; expert < kExperts; ++expert) {
    map.ranks[expert % kRanks].push_back(expert);
  }
  return map;
}

class RebalanceTest : public testing::TestWithParam<uint64_t> {};

TEST_P(RebalanceTest, KeepsTheRulesAndRelievesTheSlowestRank) {
  const std::vector<ExpertMap> current = {FirstMap(), FirstMap()};
  const std::vector<Loads> loads = {SkewedLoads(GetParam()),
                                    SkewedLoads(GetParam() + 1000)};
  const auto plan = PlanRebalance(current, loads, kOptions);
  ASSERT_TRUE(plan.has_value());
  EXPECT_LT(plan->slowest_after, 1.5);
  EXPECT_LT(plan->slowest_after, plan->slowest_before);
  for (size_t layer = 0; layer < current.size(); ++layer) {
    const ExpertMap& map = plan->maps[layer];
    EXPECT_TRUE(placement::Check({.ranks = kRanks,
                                  .experts = kExperts,
                                  .slots_per_rank = kOptions.slots_per_rank},
                                 map)
                    .empty());
    for (int rank = 0; rank < kRanks; ++rank) {
      const auto& before = current[layer].ranks[rank];
      const auto added = std::count_if(
          map.ranks[rank].begin(), map.ranks[rank].end(), [&](int expert) {
            return std::find(before.begin(), before.end(), expert) ==
                   before.end();
          });
      EXPECT_LE(added, kOptions.max_new_per_rank);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, RebalanceTest, testing::Range<uint64_t>(1, 21));

// Guards against maps planned for a mix of old and new demand after a sudden
// shift, which may happen anywhere within a round.
class DemandShiftTest : public testing::TestWithParam<double> {};

TEST_P(DemandShiftTest, NothingOfTheOldDemandIsLeft) {
  const Loads before = SkewedLoads(1);
  const Loads after = SkewedLoads(2);
  std::mt19937_64 random(7);
  ExpertDemand demand({.layers = 1, .experts = kExperts});
  common::Time now = kStart;
  const auto round = [&](double share_after, int choices) {
    const int late = static_cast<int>(share_after * choices);
    demand.OnChoices(Draw(before, choices - late, random));
    demand.OnChoices(Draw(after, late, random));
    now += common::milliseconds(120);
    return demand.CloseRound(now);
  };
  constexpr int kChoices = 20'000;
  for (int i = 0; i < 10; ++i) {
    EXPECT_FALSE(round(0, kChoices));
  }
  // A shift in a small part of a round may go undetected; the next round must
  // show it.
  if (!round(GetParam(), kChoices)) {
    EXPECT_LT(GetParam(), 0.5);
    EXPECT_TRUE(round(1, kChoices));
  }
  EXPECT_TRUE(demand.shifting());
  EXPECT_EQ(demand.total(), 0);
  EXPECT_FALSE(round(1, kChoices));
  EXPECT_FALSE(demand.shifting());
  EXPECT_LT(MovedShare(demand.loads(), {after}), 0.02);
}

INSTANTIATE_TEST_SUITE_P(ShareOfTheRound,
                         DemandShiftTest,
                         testing::Values(0.25, 0.5, 0.75, 1.0));

// Guards against shifts detected by mistake on a dozen ranks with few streams
// each: every stream uses the experts of its topic, and one that processes its
// prompt makes most of a round's choices.
TEST(SteadyDemandTest, FewStreamsAreNoShift) {
  constexpr int kTopics = 9;
  constexpr int kStreams = 72;
  std::mt19937_64 random(5);
  std::vector<Loads> topics;
  for (uint64_t topic = 0; topic < kTopics; ++topic) {
    Loads loads = SkewedLoads(1);
    const Loads own = SkewedLoads(100 + topic);
    for (int i = 0; i < kExperts; ++i) {
      loads[i] = 0.6 * loads[i] + 0.4 * own[i];
    }
    topics.push_back(loads);
  }
  std::uniform_int_distribution<int> topic(0, kTopics - 1);
  std::bernoulli_distribution reads(0.05);
  ExpertDemand demand({.layers = 1, .experts = kExperts});
  for (int i = 0; i < 200; ++i) {
    for (int stream = 0; stream < kStreams; ++stream) {
      const int choices = reads(random) ? 32'000 : 240;
      demand.OnChoices(Draw(topics[topic(random)], choices, random));
    }
    EXPECT_FALSE(demand.CloseRound(kStart + common::milliseconds(60) * i))
        << "round " << i;
  }
}

// Guards against shifts detected by mistake in small samples.
class ChanceTest : public testing::TestWithParam<int> {};

TEST_P(ChanceTest, IsNoShift) {
  std::mt19937_64 random(3);
  ExpertDemand demand({.layers = 1, .experts = kExperts});
  for (int i = 0; i < 200; ++i) {
    demand.OnChoices(Draw(SkewedLoads(1), GetParam(), random));
    EXPECT_FALSE(demand.CloseRound(kStart + common::milliseconds(120) * i));
  }
}

INSTANTIATE_TEST_SUITE_P(ChoicesARound,
                         ChanceTest,
                         testing::Values(300, 1000, 5000, 50000));

TEST(RebalanceTest, EvenDemandMovesNothing) {
  EXPECT_FALSE(PlanRebalance({FirstMap()}, {Loads(kExperts, 1.0)}, kOptions)
                   .has_value());
}

// Copies take time, in which the old map is in use: the first plan is one that
// is in use soon, and the next one does the rest. Guards against streams that
// pause for too long while everything is copied at once.
TEST(RebalanceTest, ExpensiveCopiesAreSpreadOverSeveralSwitches) {
  constexpr double kHotShare = 0.2;
  Loads loads(kExperts, (1 - kHotShare) / (kExperts - 1));
  loads[5] = kHotShare;
  const std::vector<ExpertMap> current(4, FirstMap());
  const std::vector<Loads> all(4, loads);
  RebalanceOptions options = kOptions;
  options.copy_time = common::milliseconds(110);
  const auto first = PlanRebalance(current, all, options);
  ASSERT_TRUE(first.has_value());
  EXPECT_LE(first->copies, 2);
  EXPECT_LT(first->slowest_after, 0.7 * first->slowest_before);
  options.copy_time = common::milliseconds(1);
  const auto at_once = PlanRebalance(current, all, options);
  ASSERT_TRUE(at_once.has_value());
  EXPECT_LE(at_once->slowest_after, first->slowest_after);
}

// One rank becomes slow, and all others would wait for it in each step. Its
// experts must move to other ranks, and none may be lost.
class SlowRankTest : public testing::TestWithParam<double> {};

TEST_P(SlowRankTest, SlowRankHoldsNothing) {
  constexpr size_t kSlow = 3;
  std::vector<ExpertMap> maps = {FirstMap(), FirstMap()};
  const std::vector<Loads> loads = {SkewedLoads(1), SkewedLoads(2)};
  if (const auto plan = PlanRebalance(maps, loads, kOptions)) {
    maps = plan->maps;
  }
  RebalanceOptions options = kOptions;
  options.paces.assign(kRanks, 1.0);
  options.paces[kSlow] = GetParam();
  for (int round = 0; round < 3; ++round) {
    if (const auto plan = PlanRebalance(maps, loads, options)) {
      maps = plan->maps;
    }
  }
  EXPECT_LT(MeanSlowest(maps, loads, options.paces), 1.5);
  for (const ExpertMap& map : maps) {
    EXPECT_TRUE(map.ranks[kSlow].empty());
    EXPECT_TRUE(placement::Check({.ranks = kRanks,
                                  .experts = kExperts,
                                  .slots_per_rank = kOptions.slots_per_rank},
                                 map)
                    .empty());
  }
  // The rank is used again once it is no longer slow.
  if (const auto plan =
          PlanRebalance(maps, {SkewedLoads(3), SkewedLoads(4)}, kOptions)) {
    maps = plan->maps;
  }
  EXPECT_FALSE(maps.front().ranks[kSlow].empty());
}

INSTANTIATE_TEST_SUITE_P(Paces, SlowRankTest, testing::Values(2.0, 4.0, 12.0));

// The popular experts change every few seconds. After each change two switches
// must bring the slowest rank near the mean, with fewer copies than a new map
// from scratch would need.
TEST(RebalanceTest, FollowsShiftingDemand) {
  std::vector<ExpertMap> maps = {FirstMap()};
  int moves = 0;
  for (uint64_t shift = 1; shift <= 20; ++shift) {
    const std::vector<Loads> loads = {SkewedLoads(shift)};
    for (int round = 0; round < 2; ++round) {
      if (const auto plan = PlanRebalance(maps, loads, kOptions)) {
        maps = plan->maps;
        moves += plan->moves;
      }
    }
    EXPECT_LT(MeanSlowest(maps, loads), 1.35) << "shift " << shift;
  }
  EXPECT_LT(moves, 20 * kRanks * kOptions.slots_per_rank / 2);
}

}  // namespace
}  // namespace wagtailshore::expert_demand
