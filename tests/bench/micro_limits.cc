// Cost of admitting one request as the number of customers grows.

#include <benchmark/benchmark.h>

#include "common/strings.h"
#include "state/limits/fair_queue.h"
#include "state/limits/token_bucket.h"

namespace wagtailshore::limits {
namespace {

// Checks one request against its customer's limit and adds it to the queue,
// which contains one request of each other customer.
void AdmitAmong(benchmark::State& state) {
  std::map<std::string, TokenBucket> buckets;
  FairQueue queue({.max_wait = common::seconds(3600), .max_length = 100000});
  std::vector<std::string> customers;
  common::Time now{common::seconds(1000)};
  uint64_t id = 0;
  const auto admit = [&](const std::string& customer) {
    TokenBucket& bucket =
        buckets.try_emplace(customer, common::seconds(30)).first->second;
    bucket.SetRate(1000, now);
    benchmark::DoNotOptimize(bucket.TryTake(now));
    benchmark::DoNotOptimize(
        queue.Enqueue({.id = ++id,
                       .customer = customer,
                       .deadline = now + common::seconds(100000)},
                      now));
  };
  for (int64_t i = 0; i < state.range(0); ++i) {
    customers.push_back(common::StrCat("customer-", i));
    admit(customers.back());
  }
  for (auto _ : state) {
    now += common::milliseconds(1);
    admit(customers[id % customers.size()]);
    benchmark::DoNotOptimize(queue.TakeFirst(now));
  }
}
BENCHMARK(AdmitAmong)->Arg(10)->Arg(270)->Arg(5400);

}  // namespace
}  // namespace wagtailshore::limits

BENCHMARK_MAIN();
