// Cost of one placement decision.

#include <benchmark/benchmark.h>

#include <random>

#include "state/placement/expert_map.h"
#include "state/placement/planner.h"

namespace wagtailshore::placement {
namespace {

Loads RandomLoads(int experts, uint64_t seed) {
  std::mt19937_64 random(seed);
  std::lognormal_distribution<double> popularity(0, 0.7);
  Loads loads(experts);
  for (double& load : loads) {
    load = popularity(random);
  }
  return loads;
}

GroupShape ShapeOf(const benchmark::State& state) {
  return {.ranks = static_cast<int>(state.range(0)),
          .experts = static_cast<int>(state.range(1)),
          .slots_per_rank = static_cast<int>(state.range(2))};
}

// The worst case: the map in force was planned for an unrelated load.
void BmPlanAfterAMixSwitch(benchmark::State& state) {
  const GroupShape shape = ShapeOf(state);
  const ExpertMap map = Pack(shape, RandomLoads(shape.experts, 1));
  const Loads loads = RandomLoads(shape.experts, 2);
  int moves = 0;
  for (auto _ : state) {
    moves = MakePlan(map, {loads}, {}).moves;
    benchmark::DoNotOptimize(moves);
  }
  state.counters["moves"] = moves;
}
BENCHMARK(BmPlanAfterAMixSwitch)
    ->Args({8, 64, 10})
    ->Args({64, 128, 3})
    ->Args({256, 256, 3})
    ->Unit(benchmark::kMillisecond);

// The common case: the map in force suits the load.
void BmPlanOnSteadyLoad(benchmark::State& state) {
  const GroupShape shape = ShapeOf(state);
  const Loads loads = RandomLoads(shape.experts, 1);
  const ExpertMap map = Pack(shape, loads);
  for (auto _ : state) {
    benchmark::DoNotOptimize(MakePlan(map, {loads}, {}).moves);
  }
}
BENCHMARK(BmPlanOnSteadyLoad)
    ->Args({8, 64, 10})
    ->Args({256, 256, 3})
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace wagtailshore::placement
