// Cost of one pick as the number of candidates grows.

#include <benchmark/benchmark.h>

#include "common/strings.h"
#include "state/routing/router.h"

namespace wagtailshore::routing {
namespace {

void PickAmong(benchmark::State& state) {
  Router router({.failure_domain = "here"});
  common::Time now{common::seconds(1000)};
  for (int64_t i = 0; i < state.range(0); ++i) {
    const std::string name = common::StrCat("endpoint-", i);
    router.Upsert(name, i % 2 == 0 ? "here" : "there", "model");
    router.OnReport(name, {.running = static_cast<uint32_t>(i % 8)}, now);
  }
  uint64_t hash = 0;
  for (auto _ : state) {
    now += common::milliseconds(1);
    constexpr uint64_t kPrefixes = 300;
    const auto picked =
        router.Pick({.target = "model",
                     .prefixes = {{.hash = ++hash % kPrefixes, .tokens = 800}}},
                    now);
    benchmark::DoNotOptimize(picked);
    router.OnAbandoned(*picked, now);
  }
}
BENCHMARK(PickAmong)->Arg(2)->Arg(12)->Arg(70)->Arg(350)->Arg(1400);

}  // namespace
}  // namespace wagtailshore::routing

BENCHMARK_MAIN();
