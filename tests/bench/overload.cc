// Topic `overload`: goodput and the other customers' time to the first token
// while one customer sends many times its share, with the limits, the fair
// queue and early refusals. Also the cost of the exchange of limit shares at
// the target size.

#include <malloc.h>

#include <algorithm>
#include <iomanip>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "bench/fake_engine.h"
#include "bench/topics.h"
#include "common/strings.h"
#include "coordination/limit_shares/share_holder.h"
#include "coordination/limit_shares/share_issuer.h"
#include "state/limits/fair_queue.h"
#include "state/limits/token_bucket.h"

namespace wagtailshore::bench {
namespace {

using common::milliseconds;
using common::seconds;

constexpr common::Duration kWarmUp = seconds(120);
constexpr common::Duration kRun = seconds(1320);
constexpr common::Duration kReportLag = milliseconds(200);
constexpr common::Duration kReportPeriod = milliseconds(500);
// Interval at which an entry tries again to start its waiting requests.
constexpr common::Duration kDispatchPeriod = milliseconds(25);
constexpr uint32_t kMaxTriesPerPeriod = 4;
constexpr double kRoundTripMs = 2;
constexpr common::Duration kFirstTokenTimeout = seconds(1);
constexpr common::Duration kBurst = seconds(30);
constexpr double kFirstTokenTargetMs = 740;
constexpr size_t kCustomers = 10;
constexpr double kPromptMs = 200;
constexpr double kMeanOutputTokens = 276;
// Ratio of a customer's limit to its fair share of the capacity.
constexpr double kLimitPerShare = 2;

struct Controls {
  bool limits = false;
  bool fair_queue = false;
};

struct Load {
  // Request rates in fair shares of the capacity, one share per customer. The
  // heavy customer is the one that may exceed its share.
  double heavy = 1;
  double others = 1;
};

struct Outcome {
  size_t offered = 0;
  size_t in_time = 0;
  size_t refused = 0;
  // Of all customers except the heavy one.
  std::vector<double> others_first_token_ms;
  size_t others_offered = 0;
  size_t others_refused = 0;
  double duration_s = 0;
};

class OverloadRun {
 public:
  OverloadRun(size_t entries,
              size_t engines,
              Controls controls,
              Load load,
              uint64_t seed)
      : controls_(controls), load_(load), random_(seed) {
    for (size_t i = 0; i < engines; ++i) {
      engines_.push_back(
          std::make_unique<FakeEngine>(events_, EngineOptions{}));
    }
    for (size_t i = 0; i < entries; ++i) {
      entries_.push_back(std::make_unique<Entry>(seed * entries + i + 1));
      for (size_t j = 0; j < engines; ++j) {
        entries_.back()->router.Upsert(common::StrCat(j), "here", "model");
      }
    }
  }

  Outcome Run() {
    PublishReports();
    GenerateRequest();
    DispatchPeriodically();
    events_.RunUntil(common::Time{} + kRun);
    outcome_.duration_s = std::chrono::duration<double>(kRun - kWarmUp).count();
    auto& times = outcome_.others_first_token_ms;
    std::sort(times.begin(), times.end());
    return std::move(outcome_);
  }

  // Requests per second that all slots together can serve.
  double Capacity() const {
    const EngineOptions options;
    const double service_time_ms =
        kPromptMs + kMeanOutputTokens * options.token_ms;
    return 1000 * static_cast<double>(engines_.size()) * options.slots /
           service_time_ms;
  }

 private:
  struct Entry {
    explicit Entry(uint64_t seed)
        : router({.failure_domain = "here", .seed = seed}),
          queue({.max_wait = milliseconds(400)}) {}
    routing::Router router;
    limits::FairQueue queue;
    std::map<std::string, limits::TokenBucket> buckets;
  };
  struct Request {
    std::string customer;
    common::Time arrived;
    double round_trips_ms = 0;
  };

  bool IsMeasured(const Request& request) const {
    return request.arrived >= common::Time{} + kWarmUp;
  }

  void PublishReports() {
    for (size_t i = 0; i < engines_.size(); ++i) {
      routing::LoadReport report = engines_[i]->Report();
      report.age = kReportLag;
      events_.After(kReportLag, [this, i, report] {
        for (auto& entry : entries_) {
          entry->router.OnReport(common::StrCat(i), report, events_.now());
        }
      });
    }
    events_.After(kReportPeriod, [this] { PublishReports(); });
  }

  void GenerateRequest() {
    const double share = Capacity() / kCustomers;
    const double rate = share * (load_.heavy + (kCustomers - 1) * load_.others);
    events_.After(
        FromMs(1000 * std::exponential_distribution<double>(rate)(random_)),
        [this] { GenerateRequest(); });
    const double draw =
        std::uniform_real_distribution<double>(0, rate / share)(random_);
    const size_t customer =
        draw < load_.heavy
            ? 0
            : 1 + static_cast<size_t>((draw - load_.heavy) / load_.others);
    const uint64_t id = next_id_++;
    requests_[id] = {.customer = common::StrCat("customer-", customer),
                     .arrived = events_.now()};
    if (IsMeasured(requests_[id])) {
      ++outcome_.offered;
      outcome_.others_offered += customer > 0 ? 1 : 0;
    }
    Admit(*entries_[std::uniform_int_distribution<size_t>(
              0, entries_.size() - 1)(random_)],
          id);
  }

  void Admit(Entry& entry, uint64_t id) {
    const std::string& customer = requests_.at(id).customer;
    if (controls_.limits) {
      auto& bucket = entry.buckets.try_emplace(customer, kBurst).first->second;
      bucket.SetRate(kLimitPerShare * Capacity() / kCustomers /
                         static_cast<double>(entries_.size()),
                     events_.now());
      if (!bucket.TryTake(events_.now())) {
        Refuse(id);
        return;
      }
    }
    if (!controls_.fair_queue) {
      StartOrWaitAtEndpoint(entry, id);
      return;
    }
    const auto admission =
        entry.queue.Enqueue({.id = id,
                             .customer = customer,
                             .deadline = events_.now() + kFirstTokenTimeout},
                            events_.now());
    if (std::holds_alternative<refusal::Refusal>(admission)) {
      Refuse(id);
      return;
    }
    constexpr uint32_t kMaxTriesOnArrival = 8;
    DispatchQueued(entry, kMaxTriesOnArrival);
  }

  void Refuse(uint64_t id) {
    const Request& request = requests_.at(id);
    if (IsMeasured(request)) {
      ++outcome_.refused;
      outcome_.others_refused += request.customer != "customer-0" ? 1 : 0;
    }
    requests_.erase(id);
  }

  void DispatchPeriodically() {
    for (auto& entry : entries_) {
      DispatchQueued(*entry, kMaxTriesPerPeriod);
    }
    events_.After(kDispatchPeriod, [this] { DispatchPeriodically(); });
  }

  // Starts waiting requests until no endpoint with a free slot is found in
  // `max_tries` attempts. Then refuses the requests whose predicted start is
  // too late.
  void DispatchQueued(Entry& entry, uint32_t max_tries) {
    while (entry.queue.First() != nullptr &&
           TryStart(entry, entry.queue.First()->id, max_tries)) {
      entry.queue.TakeFirst(events_.now());
    }
    for (const limits::WaitingRequest& late :
         entry.queue.TakePredictedLate(events_.now())) {
      Refuse(late.id);
    }
  }

  bool TryStart(Entry& entry, uint64_t id, uint32_t max_tries) {
    routing::PickRequest pick{.target = "model"};
    while (pick.busy_refusals < max_tries) {
      const auto name = entry.router.Pick(pick, events_.now());
      if (!name.has_value()) {
        return false;
      }
      requests_.at(id).round_trips_ms += kRoundTripMs;
      if (!engines_[std::stoul(*name)]->Full()) {
        Start(entry, id, *name);
        return true;
      }
      entry.router.OnBusy(*name, events_.now());
      pick.avoid.insert(*name);
      ++pick.busy_refusals;
    }
    return false;
  }

  // Starts the request, or queues it at an endpoint if all endpoints that were
  // tried are full.
  void StartOrWaitAtEndpoint(Entry& entry, uint64_t id) {
    constexpr uint32_t kMaxTries = 8;
    if (!TryStart(entry, id, kMaxTries)) {
      Start(entry, id, *entry.router.Pick({.target = "model"}, events_.now()));
    }
  }

  void Start(Entry& entry, uint64_t id, const std::string& name) {
    const auto tokens =
        1 + static_cast<uint32_t>(std::exponential_distribution<double>(
                1 / kMeanOutputTokens)(random_));
    engines_[std::stoul(name)]->Submit(
        {.prompt_tokens = 1000,
         .output_tokens = tokens,
         .on_first_token = [this, id](bool) { OnFirstToken(id); },
         .on_done =
             [this, &entry, name] {
               entry.router.OnSuccess(name, {}, events_.now());
             }});
  }

  void OnFirstToken(uint64_t id) {
    const Request& request = requests_.at(id);
    if (IsMeasured(request)) {
      const double ms =
          ToMs(events_.now() - request.arrived) + request.round_trips_ms;
      outcome_.in_time += ms <= kFirstTokenTargetMs ? 1 : 0;
      if (request.customer != "customer-0") {
        outcome_.others_first_token_ms.push_back(ms);
      }
    }
    requests_.erase(id);
  }

  Controls controls_;
  Load load_;
  std::mt19937_64 random_;
  EventQueue events_;
  std::vector<std::unique_ptr<FakeEngine>> engines_;
  std::vector<std::unique_ptr<Entry>> entries_;
  std::map<uint64_t, Request> requests_;
  uint64_t next_id_ = 1;
  Outcome outcome_;
};

void RunAndPrint(const std::string& name,
                 const TopicOptions& options,
                 Controls controls,
                 Load load,
                 std::ostream& out) {
  const bool target = options.size == "target";
  OverloadRun run(target ? 20 : 8, target ? 70 : 12, controls, load,
                  options.seed);
  const double capacity = run.Capacity();
  const Outcome outcome = run.Run();
  const double offered =
      (load.heavy + (kCustomers - 1) * load.others) / kCustomers;
  out << "| " << name << std::fixed << std::setprecision(2) << " | " << offered
      << " | "
      << static_cast<double>(outcome.in_time) / outcome.duration_s / capacity
      << std::setprecision(0) << " | "
      << Percentile(outcome.others_first_token_ms, 0.5) << " | "
      << Percentile(outcome.others_first_token_ms, 0.95) << std::setprecision(1)
      << " | "
      << 100.0 * static_cast<double>(outcome.others_refused) /
             static_cast<double>(outcome.others_offered)
      << " | "
      << 100.0 * static_cast<double>(outcome.refused) /
             static_cast<double>(outcome.offered)
      << " |\n"
      << std::defaultfloat;
}

size_t BytesInUse() {
  return mallinfo2().uordblks;
}

// Measures the exchange of limit shares in one failure domain. Each entry has
// demand from `active` customers.
void MeasureShares(size_t customers,
                   size_t entries,
                   size_t active,
                   std::ostream& out) {
  const limit_shares::ShareOptions options;
  const size_t before = BytesInUse();
  limit_shares::ShareIssuer issuer(options,
                                   [](const std::string&) { return 10.0; });
  std::vector<limit_shares::ShareHolder> holders;
  for (size_t i = 0; i < entries; ++i) {
    holders.emplace_back(common::StrCat("entry-", i), options);
  }
  constexpr int kPeriods = 10;
  size_t bytes = 0;
  common::Time now{seconds(1000)};
  const common::Time processor_start = common::Clock::now();
  for (int period = 0; period < kPeriods; ++period) {
    now += seconds(1);
    for (size_t i = 0; i < entries; ++i) {
      for (size_t j = 0; j < active; ++j) {
        holders[i].OnArrival(
            common::StrCat("customer-", (i * active + j) % customers));
      }
      const auto request = holders[i].MakeRequest(now);
      for (const auto& rate : request.demand) {
        // Request and reply each carry the name and the rate.
        bytes += 2 * (rate.customer.size() + sizeof(double));
      }
      holders[i].OnGrant(issuer.OnRequest(request, now), now);
    }
  }
  const double processor_ms = ToMs(common::Clock::now() - processor_start);
  out << "| " << customers << " | " << entries << " | " << active << " | "
      << std::fixed << std::setprecision(0)
      << static_cast<double>(BytesInUse() - before) / 1024 << " | 2 | "
      << static_cast<double>(bytes) / kPeriods / static_cast<double>(entries)
      << std::setprecision(3) << " | "
      << processor_ms / kPeriods / static_cast<double>(entries) << " |\n"
      << std::defaultfloat;
}

}  // namespace

void MeasureOverload(const TopicOptions& options, std::ostream& out) {
  out << "| control | load offered | goodput of capacity | others' first token "
         "p50 ms | p95 | others refused % | all refused % |\n"
         "| --- | --- | --- | --- | --- | --- | --- |\n";
  constexpr Load kOverload{.heavy = 11.9, .others = 0.9};
  const Controls both{.limits = true, .fair_queue = true};
  for (const double load : {0.7, 0.8, 0.9, 1.0}) {
    RunAndPrint("limits and fair queue", options, both,
                {.heavy = load, .others = load}, out);
  }
  RunAndPrint("none", options, {}, kOverload, out);
  RunAndPrint("limits", options, {.limits = true}, kOverload, out);
  RunAndPrint("fair queue", options, {.fair_queue = true}, kOverload, out);
  RunAndPrint("limits and fair queue", options, both, kOverload, out);
  out << "\n| customers | entries in the failure domain | customers active per "
         "entry | KB in the domain | messages per entry a second | bytes per "
         "entry a second | ms of processor per entry a second |\n"
         "| --- | --- | --- | --- | --- | --- | --- |\n";
  for (const size_t active : {10, 40, 270, 1350}) {
    constexpr size_t kTargetCustomers = 5400;
    constexpr size_t kTargetEntries = 20;
    MeasureShares(kTargetCustomers, kTargetEntries, active, out);
  }
}

}  // namespace wagtailshore::bench
