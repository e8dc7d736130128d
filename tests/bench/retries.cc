// Topic `retries`: attempts per request and goodput while a server fails every
// attempt, is 100 times slower, or a whole failure domain is unavailable. Uses
// the shipped exchange, router and retry budget.

#include <algorithm>
#include <iomanip>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "bench/fake_engine.h"
#include "bench/topics.h"
#include "common/strings.h"
#include "coordination/exchange/exchange.h"
#include "coordination/retry_budget/retry_budget.h"

namespace wagtailshore::bench {
namespace {

using common::milliseconds;
using common::seconds;

constexpr size_t kDomains = 3;
constexpr common::Duration kFaultBegins = seconds(300);
constexpr common::Duration kFaultEnds = seconds(420);
constexpr common::Duration kRun = seconds(720);
constexpr common::Duration kReportLag = milliseconds(200);
constexpr common::Duration kReportPeriod = milliseconds(500);
constexpr common::Duration kRequestTimeout = seconds(60);
constexpr common::Duration kProgressTimeout = seconds(5);
constexpr common::Duration kBucket = seconds(5);
constexpr double kLoad = 0.8;
constexpr double kFirstTokenTargetMs = 740;
constexpr double kMeanOutputTokens = 276;

enum class Fault { kNone, kFailsAll, kSlow, kDomainGone };

struct Outcome {
  size_t requests = 0;
  size_t attempts = 0;
  size_t given_up = 0;
  // Per kBucket of arrival time: the requests that arrived, and those whose
  // first token arrived within kFirstTokenTargetMs.
  std::vector<size_t> arrived;
  std::vector<size_t> in_time;

  // Percentage of the requests arrived between `from` and `to` whose first
  // token was in time.
  double Goodput(common::Duration from, common::Duration to) const {
    size_t good = 0;
    size_t all = 0;
    for (auto i = from / kBucket; i < to / kBucket; ++i) {
      good += in_time[i];
      all += arrived[i];
    }
    return 100.0 * static_cast<double>(good) / static_cast<double>(all);
  }
};

class RetryRun {
 public:
  RetryRun(size_t entries,
           size_t engines,
           Fault fault,
           bool with_budget,
           uint64_t seed)
      : fault_(fault), with_budget_(with_budget), random_(seed) {
    outcome_.arrived.resize(kRun / kBucket + 1);
    outcome_.in_time.resize(kRun / kBucket + 1);
    for (size_t i = 0; i < engines; ++i) {
      engines_.push_back(
          std::make_unique<FakeEngine>(events_, EngineOptions{}));
    }
    for (size_t i = 0; i < entries; ++i) {
      entries_.push_back(
          std::make_unique<Entry>(Domain(i), seed * entries + i + 1));
      for (size_t j = 0; j < engines; ++j) {
        entries_.back()->router.Upsert(common::StrCat(j), Domain(j), "model");
      }
    }
  }

  Outcome Run() {
    PublishReports();
    GenerateRequest();
    if (fault_ == Fault::kSlow) {
      constexpr double kSlowdown = 100;
      events_.At(common::Time{} + kFaultBegins,
                 [this] { engines_[0]->SetSlowdown(kSlowdown); });
      events_.At(common::Time{} + kFaultEnds,
                 [this] { engines_[0]->SetSlowdown(1); });
    }
    if (fault_ == Fault::kDomainGone) {
      events_.At(common::Time{} + kFaultBegins, [this] {
        for (size_t i = 0; i < engines_.size(); i += kDomains) {
          engines_[i]->Crash();
        }
      });
    }
    events_.RunUntil(common::Time{} + kRun);
    return std::move(outcome_);
  }

 private:
  struct Entry {
    Entry(const std::string& domain, uint64_t seed)
        : router({.failure_domain = domain, .seed = seed}) {}
    routing::Router router;
    retry_budget::RetryBudget budget{{}};
  };
  struct Request {
    Request(Entry& owner, exchange::ExchangeOptions options)
        : entry(owner), exchange(std::move(options)) {}
    Entry& entry;
    exchange::Exchange exchange;
    common::Time arrived;
    uint32_t tokens = 0;
    stream::AttemptId attempt;
    std::string endpoint;
    bool first_token = false;
    bool ended = false;
  };
  using RequestPtr = std::shared_ptr<Request>;

  static std::string Domain(size_t index) {
    return common::StrCat("domain-", index % kDomains);
  }

  bool Fails(size_t engine) const {
    const common::Time now = events_.now();
    const bool during = now >= common::Time{} + kFaultBegins &&
                        now < common::Time{} + kFaultEnds;
    return during && ((fault_ == Fault::kFailsAll && engine == 0) ||
                      (fault_ == Fault::kDomainGone && engine % kDomains == 0));
  }

  void PublishReports() {
    for (size_t i = 0; i < engines_.size(); ++i) {
      if (Fails(i)) {
        continue;
      }
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
    const double service_time_ms =
        200 + kMeanOutputTokens * EngineOptions{}.token_ms;
    const double rate_per_ms = kLoad * static_cast<double>(engines_.size()) *
                               EngineOptions{}.slots / service_time_ms;
    events_.After(
        FromMs(std::exponential_distribution<double>(rate_per_ms)(random_)),
        [this] { GenerateRequest(); });
    Entry& entry = *entries_[std::uniform_int_distribution<size_t>(
        0, entries_.size() - 1)(random_)];
    auto request = std::make_shared<Request>(
        entry, exchange::ExchangeOptions{
                   .request = common::StrCat("r", ++outcome_.requests),
                   .deadline = events_.now() + kRequestTimeout,
                   .progress_timeout = kProgressTimeout});
    request->arrived = events_.now();
    request->tokens =
        1 + static_cast<uint32_t>(std::exponential_distribution<double>(
                1 / kMeanOutputTokens)(random_));
    ++outcome_.arrived[BucketOf(*request)];
    Perform(request, request->exchange.Start(events_.now()));
  }

  static size_t BucketOf(const Request& request) {
    return request.arrived.time_since_epoch() / kBucket;
  }

  void Perform(const RequestPtr& request, const exchange::Action& action) {
    if (std::holds_alternative<exchange::GiveUp>(action)) {
      request->ended = true;
      ++outcome_.given_up;
    } else if (const auto* start =
                   std::get_if<exchange::StartAttempt>(&action)) {
      Start(request, *start);
    }
  }

  void Start(const RequestPtr& request, const exchange::StartAttempt& start) {
    Entry& entry = request->entry;
    if (with_budget_ && start.is_retry && !entry.budget.TryTake()) {
      Perform(request, request->exchange.OnRetryBudgetExhausted(events_.now()));
      return;
    }
    const auto name = entry.router.Pick({.target = "model",
                                         .avoid = start.avoid,
                                         .busy_refusals = start.busy_refusals},
                                        events_.now());
    if (!name.has_value()) {
      Perform(request, request->exchange.OnNoEndpoint(events_.now()));
      return;
    }
    request->attempt = start.id;
    request->endpoint = *name;
    request->exchange.OnSent(*name, events_.now());
    const size_t engine = std::stoul(*name);
    constexpr common::Duration kRoundTrip = milliseconds(2);
    const bool full = engines_[engine]->Full() && !start.may_wait;
    if (Fails(engine) || full) {
      outcome_.attempts += full ? 0 : 1;
      events_.After(kRoundTrip, [this, request, full] {
        EndAttempt(request, full ? exchange::AttemptEnd::kBusy
                                 : exchange::AttemptEnd::kBroken);
      });
      return;
    }
    ++outcome_.attempts;
    Submit(request, engine);
  }

  void EndAttempt(const RequestPtr& request, exchange::AttemptEnd end) {
    routing::Router& router = request->entry.router;
    if (end == exchange::AttemptEnd::kBusy) {
      router.OnBusy(request->endpoint, events_.now());
    } else {
      router.OnFailure(request->endpoint, events_.now());
    }
    Perform(request,
            request->exchange.OnAttemptEnd(end, std::nullopt, events_.now()));
  }

  void Submit(const RequestPtr& request, size_t engine) {
    const stream::AttemptId attempt = request->attempt;
    const auto is_current = [request, attempt] {
      return !request->ended && request->attempt == attempt;
    };
    const common::Time sent = events_.now();
    auto first_token = std::make_shared<common::Duration>();
    const uint64_t id = engines_[engine]->Submit(
        {.prompt_tokens = 1000,
         .output_tokens = request->tokens,
         .on_first_token =
             [this, request, attempt, is_current, sent, first_token](bool) {
               if (is_current()) {
                 *first_token = events_.now() - sent;
                 OnFirstToken(*request);
               }
             },
         .on_done =
             [this, request, is_current, sent, first_token] {
               if (is_current()) {
                 request->ended = true;
                 request->entry.budget.OnSuccess();
                 request->entry.router.OnSuccess(
                     request->endpoint,
                     {.first_token = *first_token,
                      .total = events_.now() - sent},
                     events_.now());
               }
             },
         .on_lost =
             [this, request, is_current] {
               if (is_current()) {
                 EndAttempt(request, exchange::AttemptEnd::kBroken);
               }
             }});
    events_.After(kProgressTimeout,
                  [this, request, is_current, first_token, engine, id] {
                    if (is_current() && *first_token == common::Duration{}) {
                      engines_[engine]->Cancel(id);
                      EndAttempt(request, exchange::AttemptEnd::kTimedOut);
                    }
                  });
  }

  void OnFirstToken(Request& request) {
    request.exchange.OnFrame(
        {.id = request.attempt,
         .offset = request.exchange.assembler().next_offset(),
         .tokens = 1},
        events_.now());
    if (std::exchange(request.first_token, true)) {
      return;
    }
    if (ToMs(events_.now() - request.arrived) <= kFirstTokenTargetMs) {
      ++outcome_.in_time[BucketOf(request)];
    }
  }

  Fault fault_;
  bool with_budget_;
  std::mt19937_64 random_;
  EventQueue events_;
  std::vector<std::unique_ptr<FakeEngine>> engines_;
  std::vector<std::unique_ptr<Entry>> entries_;
  Outcome outcome_;
};

void RunAndPrint(const std::string& name,
                 Fault fault,
                 bool with_budget,
                 const TopicOptions& options,
                 std::ostream& out) {
  const bool target = options.size == "target";
  const Outcome outcome = RetryRun(target ? 20 : 8, target ? 70 : 12, fault,
                                   with_budget, options.seed)
                              .Run();
  constexpr common::Duration kAfter = seconds(10);
  out << "| " << name << " | " << (with_budget ? "yes" : "no") << std::fixed
      << std::setprecision(3) << " | "
      << static_cast<double>(outcome.attempts) /
             static_cast<double>(outcome.requests)
      << std::setprecision(1) << " | "
      << outcome.Goodput(seconds(60), kFaultBegins) << " | "
      << outcome.Goodput(kFaultBegins, kFaultEnds) << " | "
      << outcome.Goodput(kFaultEnds, kFaultEnds + kAfter) << " | "
      << outcome.Goodput(kFaultEnds + kAfter, kRun - seconds(60)) << " | "
      << 100.0 * static_cast<double>(outcome.given_up) /
             static_cast<double>(outcome.requests)
      << " |\n"
      << std::defaultfloat;
}

}  // namespace

void MeasureRetries(const TopicOptions& options, std::ostream& out) {
  out << "| fault | budget | attempts per request | goodput before % | during "
         "% "
         "| first 10 s after % | later % | given up % |\n"
         "| --- | --- | --- | --- | --- | --- | --- | --- |\n";
  for (const bool with_budget : {false, true}) {
    RunAndPrint("none", Fault::kNone, with_budget, options, out);
    RunAndPrint("server fails all", Fault::kFailsAll, with_budget, options,
                out);
    RunAndPrint("server 100x slow", Fault::kSlow, with_budget, options, out);
    RunAndPrint("failure domain gone", Fault::kDomainGone, with_budget, options,
                out);
  }
}

}  // namespace wagtailshore::bench
