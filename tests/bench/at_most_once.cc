// Topic `at_most_once`: outcomes of at-most-once calls during ten minutes with
// a network partition, a paused endpoint and an endpoint restart, with the
// platform's table unavailable or available. Compares claim rows in the table
// with bucket leases.

#include <array>
#include <iomanip>
#include <random>

#include "bench/topics.h"
#include "common/strings.h"
#include "support/bucket_world.h"
#include "support/claim_world.h"

namespace wagtailshore::bench {
namespace {

using test_support::AnswerKind;
using test_support::CallKey;
using test_support::CallWorld;

constexpr common::Duration kOutageStart = common::seconds(60);
constexpr common::Duration kOutageEnd = common::seconds(660);
constexpr common::Duration kTimeout = common::seconds(5);
constexpr common::Duration kRetryDelay = common::seconds(2);
constexpr int kMaxSends = 4;

// Outcomes of the requests that were first sent in the outage window.
struct Tally {
  int requests = 0;
  int served = 0;
  int not_run = 0;
  int unknown = 0;
  int run_twice = 0;
};

// A request that its caller sends up to kMaxSends times.
struct Request {
  std::string name;
  int keys_used = 1;
  // The latest submission's index in the ledger.
  size_t submission = 0;
  int sends = 0;
  // Whether the first send was in the outage window.
  bool in_outage_window = false;
  // Whether a submission with the current key may have run.
  bool may_have_run = false;
  // Of the latest submission.
  std::optional<AnswerKind> outcome;
};

class Callers {
 public:
  // With `outage`, the table is unavailable in the outage window. With
  // `new_keys`, a caller retries with a new key when all submissions with the
  // current key were refused as not run.
  Callers(CallWorld& world, uint64_t seed, bool outage, bool new_keys)
      : world_(world), random_(seed), outage_(outage), new_keys_(new_keys) {}

  void Run() {
    constexpr int kRequests = 1400;
    constexpr common::Duration kRequestInterval = common::milliseconds(500);
    requests_ = std::vector<Request>(kRequests);
    for (int i = 0; i < kRequests; ++i) {
      requests_[i].name = common::StrCat("request-", i);
      world_.events().After(common::seconds(20) + i * kRequestInterval,
                            [this, i] { Send(requests_[i]); });
    }
    ScheduleFaults();
    world_.events().RunUntil(common::Time(common::seconds(900)));
  }

  Tally CountOutcomes() const {
    Tally tally;
    for (const Request& request : requests_) {
      if (!request.in_outage_window) {
        continue;
      }
      ++tally.requests;
      tally.served += request.outcome == AnswerKind::kComplete ? 1 : 0;
      tally.not_run += request.outcome == AnswerKind::kNotRun ? 1 : 0;
      tally.unknown += request.outcome == AnswerKind::kUnknown ? 1 : 0;
      int runs = 0;
      for (int key = 1; key <= request.keys_used; ++key) {
        runs += world_.ledger().RunsOf(KeyOf(request, key));
      }
      tally.run_twice += runs > 1 ? 1 : 0;
    }
    return tally;
  }

 private:
  static CallKey KeyOf(const Request& request, int key) {
    return {.customer = "desk", .key = common::StrCat(request.name, "-", key)};
  }

  void Send(Request& request) {
    const common::Duration at = world_.events().now().time_since_epoch();
    if (request.sends == 0) {
      request.in_outage_window = at >= kOutageStart && at < kOutageEnd;
    }
    ++request.sends;
    const int entry =
        std::uniform_int_distribution<>(0, world_.entries() - 1)(random_);
    request.submission =
        world_.Submit(entry, KeyOf(request, request.keys_used), kTimeout);
    world_.events().After(kTimeout + kRetryDelay,
                          [this, &request] { CheckOutcome(request); });
  }

  void CheckOutcome(Request& request) {
    request.outcome = world_.ledger().submissions()[request.submission].answer;
    if (request.outcome == AnswerKind::kComplete ||
        request.sends == kMaxSends) {
      return;
    }
    if (request.outcome != AnswerKind::kNotRun) {
      request.may_have_run = true;
    }
    if (new_keys_ && !request.may_have_run) {
      ++request.keys_used;
    }
    Send(request);
  }

  void ScheduleFaults() {
    const auto at = [this](int second, std::function<void()> inject) {
      world_.events().After(common::seconds(second), std::move(inject));
    };
    at(60, [this] { world_.faults().set_store_down(outage_); });
    at(150, [this] {
      world_.faults().Cut(0, 1);
      world_.faults().Cut(0, 2);
    });
    at(270, [this] { world_.faults().Heal(); });
    at(330, [this] { world_.PauseEndpoint(1, common::seconds(30)); });
    at(420, [this] { world_.RestartEndpoint(2); });
    at(660, [this] { world_.faults().set_store_down(false); });
  }

  CallWorld& world_;
  std::mt19937_64 random_;
  bool outage_;
  bool new_keys_;
  std::vector<Request> requests_;
};

void PrintRow(std::ostream& out,
              const std::string& name,
              CallWorld& world,
              uint64_t seed,
              bool outage,
              bool new_keys) {
  Callers callers(world, seed, outage, new_keys);
  callers.Run();
  const Tally tally = callers.CountOutcomes();
  constexpr double kPercent = 100.0;
  out << "| " << name << " | " << tally.requests << " | " << std::fixed
      << std::setprecision(1) << kPercent * tally.served / tally.requests
      << " % | " << tally.not_run << " | " << tally.unknown << " | "
      << tally.run_twice << " | " << world.ledger().violations().size()
      << " |\n";
}

}  // namespace

void MeasureAtMostOnce(const TopicOptions& options, std::ostream& out) {
  out << "| way | requests | served | refused as not run | unknown | run twice "
         "| broken promises |\n| --- | --- | --- | --- | --- | --- | --- |\n";
  const test_support::CallWorldOptions calls{.seed = options.seed};
  for (const bool outage : {true, false}) {
    for (const bool new_keys : {false, true}) {
      const std::string name =
          common::StrCat(outage ? "table away" : "table there",
                         new_keys ? ", new keys after not_run" : "");
      test_support::ClaimWorld claims(calls);
      PrintRow(out, "(a) " + name, claims, options.seed, outage, new_keys);
      test_support::BucketWorld buckets({.calls = calls});
      PrintRow(out, "(b) " + name, buckets, options.seed, outage, new_keys);
    }
  }
}

}  // namespace wagtailshore::bench
