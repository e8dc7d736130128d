// Topic `placement`: compares expert placement over one day with baseline
// strategies.

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <iomanip>
#include <numbers>
#include <random>
#include <vector>

#include "bench/topics.h"
#include "state/placement/expert_map.h"
#include "state/placement/planner.h"

namespace wagtailshore::bench {
namespace {

using placement::ExpertMap;
using placement::Loads;
using FloatSeconds = std::chrono::duration<double>;

constexpr double kHoursPerDay = 24;
constexpr double kPi = std::numbers::pi;

constexpr common::seconds kObserveInterval{60};

struct Setup {
  placement::GroupShape shape;
  // Observations between two plans.
  int observations_per_plan;
  uint64_t seed;
};

// Returns the load of each expert at an hour of the day.
using LoadProfile = std::function<Loads(double hour)>;

Loads RandomLoads(int experts, std::mt19937_64& random) {
  std::lognormal_distribution<double> popularity(0, 0.7);
  Loads loads(experts);
  std::generate(loads.begin(), loads.end(), [&] { return popularity(random); });
  return loads;
}

Loads Blend(const Loads& a, const Loads& b, double share_of_b) {
  Loads loads(a.size());
  for (size_t i = 0; i < a.size(); ++i) {
    loads[i] = (1 - share_of_b) * a[i] + share_of_b * b[i];
  }
  return loads;
}

struct NamedLoadProfile {
  const char* name;
  LoadProfile day;
};

std::vector<NamedLoadProfile> LoadProfiles(const Setup& setup) {
  std::mt19937_64 random(setup.seed);
  const Loads a = RandomLoads(setup.shape.experts, random);
  const Loads b = RandomLoads(setup.shape.experts, random);
  std::vector<double> phases(a.size());
  std::uniform_real_distribution<double> random_phase(0, 2 * kPi);
  for (double& phase : phases) {
    phase = random_phase(random);
  }
  return {
      {"steady", [=](double) { return Loads(a); }},
      {"drift",
       [=](double hour) {
         Loads loads = a;
         for (size_t i = 0; i < loads.size(); ++i) {
           loads[i] *= std::exp(
               0.7 * std::sin(2 * kPi * hour / kHoursPerDay + phases[i]));
         }
         return loads;
       }},
      {"opening",
       [=](double hour) {
         // Uses load `b` from 9 to 17 h, with a ten-minute ramp at each end.
         constexpr double kRamp = 1.0 / 6;
         const double in = std::clamp((hour - 9) / kRamp, 0.0, 1.0);
         const double out = std::clamp((hour - 17) / kRamp, 0.0, 1.0);
         return Blend(a, b, in - out);
       }},
      {"alternating",
       [=](double hour) {
         const bool second = static_cast<int>(hour * 3) % 2 == 1;
         return second ? b : a;
       }},
      {"hot expert",
       [=](double hour) {
         constexpr double kHot = 10;
         Loads loads = a;
         loads[0] = hour >= 6 ? kHot : 1;
         return loads;
       }},
  };
}

// Input of a strategy at the end of an observation interval.
struct StrategyInput {
  const Loads& load;
  const placement::Scenarios& expected;
  const placement::GroupShape& shape;
};

struct Strategy {
  const char* name;
  std::function<ExpertMap(const ExpertMap&, const StrategyInput&)> next;
};

// Swaps the expert with the highest load on the slowest rank with the expert
// with the lowest load on the fastest rank, unless a rank would then hold an
// expert twice.
ExpertMap SwapHottest(const ExpertMap& map, const Loads& loads) {
  ExpertMap next = map;
  const std::vector<double> rank_loads = RankLoads(map, loads);
  const auto [fast, slow] =
      std::minmax_element(rank_loads.begin(), rank_loads.end());
  auto& from = next.ranks[slow - rank_loads.begin()];
  auto& to = next.ranks[fast - rank_loads.begin()];
  const std::vector<int> counts = ReplicaCounts(map, loads.size());
  const auto lighter = [&](int x, int y) {
    return loads[x] / counts[x] < loads[y] / counts[y];
  };
  auto hottest = std::max_element(from.begin(), from.end(), lighter);
  auto coldest = std::min_element(to.begin(), to.end(), lighter);
  const bool already_present =
      std::find(to.begin(), to.end(), *hottest) != to.end() ||
      std::find(from.begin(), from.end(), *coldest) != from.end();
  if (!already_present) {
    std::iter_swap(hottest, coldest);
  }
  return next;
}

Strategy PlannerStrategy(const char* name,
                         double skew_weight,
                         double cost_weight) {
  return {name, [=](const ExpertMap& map, const StrategyInput& input) {
            return MakePlan(
                       map, input.expected,
                       {.skew_weight = skew_weight, .cost_weight = cost_weight})
                .map;
          }};
}

std::vector<Strategy> Strategies() {
  return {
      {"static",
       [](const ExpertMap& map, const StrategyInput&) { return map; }},
      {"full re-plan",
       [](const ExpertMap&, const StrategyInput& input) {
         return Pack(input.shape, input.load);
       }},
      {"greedy hottest",
       [](const ExpertMap& map, const StrategyInput& input) {
         return SwapHottest(map, input.load);
       }},
      PlannerStrategy("ours 4:1", 4, 1),
      PlannerStrategy("ours 1:4", 1, 4),
  };
}

struct Tally {
  std::vector<double> slowest;
  std::vector<double> gap;
  std::vector<double> bound;
  std::vector<double> over_bound;
  int moves = 0;
  int switches = 0;
};

double Percentile(std::vector<double> values, double share) {
  const double last = static_cast<double>(values.size()) - 1;
  const int64_t at = std::llround(share * last);
  std::nth_element(values.begin(), values.begin() + at, values.end());
  return values[at];
}

void Count(const ExpertMap& map,
           const Loads& demand,
           const placement::GroupShape& shape,
           Tally& tally) {
  const placement::Skew skew = SkewOf(map, demand);
  const double bound = SlowestLowerBound(shape, demand);
  tally.slowest.push_back(skew.slowest);
  tally.gap.push_back(skew.gap);
  tally.bound.push_back(bound);
  tally.over_bound.push_back(skew.slowest / bound);
}

Tally RunDay(const Setup& setup,
             const LoadProfile& day,
             const Strategy& strategy) {
  std::mt19937_64 random(setup.seed);
  std::lognormal_distribution<double> noise(0, 0.03);
  placement::ExpertLoad load({.experts = setup.shape.experts});
  placement::MixMemory memory({});
  ExpertMap map = Pack(setup.shape, day(0));
  Tally tally;
  const auto observations = static_cast<int>(
      kHoursPerDay * 3600 / FloatSeconds(kObserveInterval).count());
  common::Time now{};
  for (int i = 0; i < observations; ++i) {
    const Loads demand = day(kHoursPerDay * i / observations);
    Count(map, demand, setup.shape, tally);
    Loads measured = demand;
    for (double& value : measured) {
      value *= noise(random);
    }
    now += kObserveInterval;
    load.Observe(measured, now);
    memory.Observe(load.average(), now);
    if (i % setup.observations_per_plan != 0) {
      continue;
    }
    ExpertMap next =
        strategy.next(map, {load.average(), memory.Expected(), setup.shape});
    const int moves = CountMoves(map, next);
    tally.moves += moves;
    tally.switches += moves > 0 ? 1 : 0;
    map = std::move(next);
  }
  return tally;
}

void Print(const char* day,
           const char* name,
           const Tally& tally,
           std::ostream& out) {
  const placement::PlanOptions cost;
  const double lost =
      tally.switches * FloatSeconds(cost.lost_per_switch).count() +
      tally.moves * FloatSeconds(cost.lost_per_move).count();
  const double gigabytes =
      static_cast<double>(cost.expert_bytes) * tally.moves / 1e9;
  out << "| " << day << " | " << name << std::fixed << std::setprecision(3)
      << " | " << Percentile(tally.slowest, 0.5) << " | "
      << Percentile(tally.slowest, 0.99) << " | "
      << Percentile(tally.bound, 0.99) << " | "
      << Percentile(tally.over_bound, 0.99) << " | "
      << Percentile(tally.gap, 0.5) << " | " << Percentile(tally.gap, 0.99)
      << " | " << std::setprecision(1) << gigabytes << " | "
      << std::setprecision(2) << lost << " | " << tally.moves << " | "
      << tally.switches << " |\n";
}

}  // namespace

void MeasurePlacement(const TopicOptions& options, std::ostream& out) {
  const bool target = options.size == "target";
  const Setup setup = {.shape = target ? placement::GroupShape{256, 256, 3}
                                       : placement::GroupShape{8, 64, 10},
                       .observations_per_plan = target ? 5 : 1,
                       .seed = options.seed};
  out << "ranks " << setup.shape.ranks << ", experts " << setup.shape.experts
      << ", slots per rank " << setup.shape.slots_per_rank << ", a plan every "
      << setup.observations_per_plan << " min, one day, seed " << setup.seed
      << "\n\n";
  out << "| load | strategy | slowest p50 | slowest p99 | bound p99 | over "
         "bound p99 | gap p50 | gap p99 | GB moved | step time lost (s) | "
         "moves | switches |\n"
         "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | "
         "--- |\n";
  for (const NamedLoadProfile& day : LoadProfiles(setup)) {
    for (const Strategy& strategy : Strategies()) {
      Print(day.name, strategy.name, RunDay(setup, day.day, strategy), out);
    }
  }
}

}  // namespace wagtailshore::bench
