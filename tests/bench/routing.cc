// Topic `routing`: time to the first token under each routing policy, with
// delayed load reports, a stalled engine, a flapping engine and lost cache
// events.

#include <algorithm>
#include <iomanip>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "bench/fake_engine.h"
#include "bench/routing_policies.h"
#include "bench/topics.h"

namespace wagtailshore::bench {
namespace {

using common::milliseconds;
using common::seconds;

constexpr common::Duration kWarmUp = seconds(60);
constexpr common::Duration kRun = seconds(1800);
constexpr common::Duration kReportPeriod = milliseconds(500);
constexpr common::Duration kFirstTokenTimeout = seconds(5);
constexpr double kLoad = 0.8;
constexpr uint32_t kPromptTokens = 1000;
constexpr uint32_t kPrefixTokens = 800;
constexpr double kMeanOutputTokens = 276;
constexpr uint32_t kMaxOutputTokens = 1024;
// A request whose first token arrives within this time counts as goodput.
constexpr double kFirstTokenTargetMs = 740;
constexpr size_t kPrefixes = 300;
constexpr double kCacheEventLossRate = 0.1;
constexpr size_t kMaxAttempts = 4;
// After this many refusals by full endpoints, a request waits at the endpoint
// that is picked next.
constexpr size_t kMaxBusyRefusals = 8;
constexpr common::Duration kRoundTrip = milliseconds(2);

struct Size {
  size_t entries = 0;
  size_t engines = 0;
  size_t failure_domains = 0;
};

struct Result {
  std::vector<double> first_token_ms;
  size_t offered = 0;
  size_t in_time = 0;
  size_t attempts = 0;
  size_t busy_refusals = 0;
  size_t cache_hits = 0;
  size_t own_domain = 0;
};

std::string DomainOf(size_t index, const Size& size) {
  return common::StrCat("domain-", index % size.failure_domains);
}

template <typename Policy>
class RoutingRun {
 public:
  RoutingRun(const Size& size, common::Duration lag, uint64_t seed)
      : size_(size), lag_(lag), random_(seed) {
    EntryOptions options{.engines = &engines_};
    for (size_t i = 0; i < size.engines; ++i) {
      options.engine_domains.push_back(DomainOf(i, size));
      engines_.push_back(
          std::make_unique<FakeEngine>(events_, EngineOptions{}));
      engines_.back()->on_cache_event = [this,
                                         i](const routing::CacheEvent& event) {
        PublishCacheEvent(i, event);
      };
    }
    for (size_t i = 0; i < size.entries; ++i) {
      options.failure_domain = DomainOf(i, size);
      options.seed = seed * size.entries + i + 1;
      entries_.push_back(std::make_unique<Policy>(options));
    }
  }

  Result Run() {
    PublishReports();
    ScheduleFaults();
    GenerateRequest();
    events_.RunUntil(common::Time{} + kRun + seconds(60));
    std::sort(result_.first_token_ms.begin(), result_.first_token_ms.end());
    return std::move(result_);
  }

 private:
  struct Request {
    size_t entry = 0;
    common::Time arrived;
    uint64_t prefix = 0;
    uint32_t output_tokens = 0;
    std::set<size_t> tried;
    uint32_t busy_refusals = 0;
  };
  using RequestPtr = std::shared_ptr<Request>;

  void ScheduleFaults() {
    events_.At(common::Time{} + seconds(600), [this] {
      engines_[0]->StallUntil(events_.now() + seconds(30));
    });
    for (int i = 0; i < 120; ++i) {
      events_.At(common::Time{} + seconds(900 + 5 * i),
                 [this, i] { engines_[1]->SetRefusing(i % 2 == 0); });
    }
  }

  // Delivers each engine's load report to all entries after the lag.
  void PublishReports() {
    for (size_t i = 0; i < engines_.size(); ++i) {
      routing::LoadReport report = engines_[i]->Report();
      report.age = lag_;
      events_.After(lag_, [this, i, report] {
        for (auto& entry : entries_) {
          entry->OnReport(i, report, events_.now());
        }
      });
    }
    events_.After(kReportPeriod, [this] { PublishReports(); });
  }

  void PublishCacheEvent(size_t engine, const routing::CacheEvent& event) {
    if (std::bernoulli_distribution(kCacheEventLossRate)(random_)) {
      return;
    }
    events_.After(lag_, [this, engine, event] {
      for (auto& entry : entries_) {
        entry->OnCacheEvent(engine, event);
      }
    });
  }

  void GenerateRequest() {
    if (events_.now() > common::Time{} + kRun) {
      return;
    }
    const double service_time_ms =
        kPromptTokens * EngineOptions{}.prefill_ms_per_token +
        kMeanOutputTokens * EngineOptions{}.token_ms;
    const double rate_per_ms = kLoad * static_cast<double>(engines_.size()) *
                               EngineOptions{}.slots / service_time_ms;
    events_.After(
        FromMs(std::exponential_distribution<double>(rate_per_ms)(random_)),
        [this] { GenerateRequest(); });
    auto request = std::make_shared<Request>();
    request->entry =
        std::uniform_int_distribution<size_t>(0, entries_.size() - 1)(random_);
    request->arrived = events_.now();
    request->prefix = DrawPrefix();
    request->output_tokens = std::min(
        kMaxOutputTokens,
        1 + static_cast<uint32_t>(std::exponential_distribution<double>(
                1 / kMeanOutputTokens)(random_)));
    if (IsMeasured(*request)) {
      ++result_.offered;
    }
    Send(request);
  }

  // A few prefixes account for most requests, and the set of frequent prefixes
  // drifts over time.
  uint64_t DrawPrefix() {
    const double uniform = std::uniform_real_distribution<double>()(random_);
    const auto rank =
        static_cast<uint64_t>(kPrefixes * uniform * uniform * uniform);
    const auto drift =
        static_cast<uint64_t>(ToMs(events_.now().time_since_epoch()) / 20000);
    return rank + drift + 1;
  }

  bool IsMeasured(const Request& request) const {
    return request.arrived >= common::Time{} + kWarmUp;
  }

  void Send(const RequestPtr& request) {
    if (request->tried.size() - request->busy_refusals >= kMaxAttempts ||
        request->tried.size() == engines_.size()) {
      return;
    }
    const size_t engine = entries_[request->entry]->Pick(
        {.prefix = {.hash = request->prefix, .tokens = kPrefixTokens},
         .prompt_tokens = kPromptTokens,
         .avoid = request->tried,
         .busy_refusals = request->busy_refusals},
        events_.now());
    request->tried.insert(engine);
    if (Policy::kRefusedWhenFull && engines_[engine]->Full() &&
        !engines_[engine]->refusing() &&
        request->busy_refusals < kMaxBusyRefusals) {
      ++request->busy_refusals;
      result_.busy_refusals += IsMeasured(*request) ? 1 : 0;
      events_.After(kRoundTrip, [this, request, engine] {
        entries_[request->entry]->OnBusy(engine, events_.now());
        Send(request);
      });
      return;
    }
    if (IsMeasured(*request)) {
      ++result_.attempts;
      result_.own_domain +=
          DomainOf(engine, size_) == DomainOf(request->entry, size_) ? 1 : 0;
    }
    if (engines_[engine]->refusing()) {
      Fail(request, engine);
      return;
    }
    Submit(request, engine);
  }

  void Fail(const RequestPtr& request, size_t engine) {
    entries_[request->entry]->OnFailure(engine, events_.now());
    Send(request);
  }

  void Submit(const RequestPtr& request, size_t engine) {
    const common::Time sent = events_.now();
    auto times = std::make_shared<routing::AttemptTimes>();
    const uint64_t id =
        engines_[engine]->Submit({.prefix = request->prefix,
                                  .prefix_tokens = kPrefixTokens,
                                  .prompt_tokens = kPromptTokens,
                                  .output_tokens = request->output_tokens,
                                  .on_first_token =
                                      [this, request, times, sent](bool hit) {
                                        times->first_token =
                                            events_.now() - sent;
                                        OnFirstToken(*request, hit);
                                      },
                                  .on_done =
                                      [this, request, times, sent, engine] {
                                        times->total = events_.now() - sent;
                                        entries_[request->entry]->OnSuccess(
                                            engine, *times, events_.now());
                                      }});
    events_.After(kFirstTokenTimeout, [this, request, engine, id, times] {
      if (times->first_token == common::Duration{}) {
        engines_[engine]->Cancel(id);
        Fail(request, engine);
      }
    });
  }

  void OnFirstToken(const Request& request, bool hit) {
    if (!IsMeasured(request)) {
      return;
    }
    const double ms = ToMs(events_.now() - request.arrived);
    result_.first_token_ms.push_back(ms);
    result_.in_time += ms <= kFirstTokenTargetMs ? 1 : 0;
    result_.cache_hits += hit ? 1 : 0;
  }

  Size size_;
  common::Duration lag_;
  std::mt19937_64 random_;
  EventQueue events_;
  Engines engines_;
  std::vector<std::unique_ptr<Policy>> entries_;
  Result result_;
};

template <typename Policy>
void RunAndPrint(const std::string& name,
                 const Size& size,
                 common::Duration lag,
                 uint64_t seed,
                 std::ostream& out) {
  const Result result = RoutingRun<Policy>(size, lag, seed).Run();
  const auto share = [&](size_t count, size_t of) {
    return 100.0 * static_cast<double>(count) / static_cast<double>(of);
  };
  out << "| " << name << " | " << ToMs(lag) / 1000 << std::fixed
      << std::setprecision(0);
  for (const double percentile : {0.5, 0.95, 0.99}) {
    out << " | " << Percentile(result.first_token_ms, percentile);
  }
  out << std::setprecision(1) << " | " << share(result.in_time, result.offered)
      << " | " << share(result.cache_hits, result.first_token_ms.size())
      << " | " << share(result.own_domain, result.attempts) << " | "
      << std::setprecision(3)
      << static_cast<double>(result.attempts) /
             static_cast<double>(result.offered)
      << " | "
      << static_cast<double>(result.busy_refusals) /
             static_cast<double>(result.offered)
      << " |\n"
      << std::defaultfloat;
}

}  // namespace

void MeasureRouting(const TopicOptions& options, std::ostream& out) {
  const Size size =
      options.size == "target"
          ? Size{.entries = 20, .engines = 70, .failure_domains = 1}
          : Size{.entries = 8, .engines = 12, .failure_domains = 3};
  out << "| router | lag s | first token p50 ms | p95 | p99 | in 0.74 s % | "
         "cache hits % | own domain % | attempts per request | "
         "busy refusals per request |\n"
         "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
  RunAndPrint<IdealPolicy>("ideal", size, milliseconds(0), options.seed, out);
  for (const auto lag :
       {milliseconds(200), milliseconds(1000), milliseconds(5000)}) {
    RunAndPrint<RandomPolicy>("random", size, lag, options.seed, out);
    RunAndPrint<RandomRefusedWhenFullPolicy>("random, refused when full", size,
                                             lag, options.seed, out);
    RunAndPrint<RoundRobinPolicy>("round robin", size, lag, options.seed, out);
    RunAndPrint<LeastReportedPolicy>("least reported", size, lag, options.seed,
                                     out);
    RunAndPrint<RouterPolicy>("ours", size, lag, options.seed, out);
  }
}

}  // namespace wagtailshore::bench
