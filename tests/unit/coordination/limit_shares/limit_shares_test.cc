#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>

#include "common/strings.h"
#include "coordination/limit_shares/share_holder.h"
#include "coordination/limit_shares/share_issuer.h"

namespace wagtailshore::limit_shares {
namespace {

using common::milliseconds;
using common::seconds;

constexpr common::Time kStart{seconds(1000)};
constexpr double kLimit = 100;
constexpr ShareOptions kOptions{.max_entries = 4, .lifetime = seconds(10)};

double LimitOf(const std::string&) {
  return kLimit;
}

// One period of an entry at which `arrivals` requests arrived.
void RunPeriod(ShareHolder& holder,
               ShareIssuer& issuer,
               int arrivals,
               common::Time now) {
  for (int i = 0; i < arrivals; ++i) {
    holder.OnArrival("c");
  }
  holder.OnGrant(issuer.OnRequest(holder.MakeRequest(now), now), now);
}

TEST(LimitSharesTest, FollowsTheDemand) {
  ShareIssuer issuer(kOptions, &LimitOf);
  ShareHolder busy("busy", kOptions);
  ShareHolder idle("idle", kOptions);
  constexpr int kPeriods = 60;
  common::Time now = kStart;
  for (int i = 0; i < kPeriods; ++i) {
    now += seconds(1);
    RunPeriod(busy, issuer, 90, now);
    RunPeriod(idle, issuer, 1, now);
  }
  EXPECT_GT(busy.RateOf("c", kLimit, now), 80);
  for (int i = 0; i < kPeriods; ++i) {
    now += seconds(1);
    RunPeriod(busy, issuer, 1, now);
    RunPeriod(idle, issuer, 90, now);
  }
  EXPECT_GT(idle.RateOf("c", kLimit, now), 80);
  // When the loan has expired only the floor remains.
  EXPECT_EQ(idle.RateOf("c", kLimit, now + seconds(11)), 5);
}

// The sum of the rates in use never exceeds the limit, with clocks that run at
// different rates, messages that are lost, duplicated or late, and entries and
// issuers that are replaced at any time.
RC_GTEST_PROP(LimitSharesProperty, NeverExceedsTheLimit, ()) {
  struct Entry {
    std::unique_ptr<ShareHolder> holder;
    double clock_rate = 1;
    std::vector<ShareGrant> grants;
    std::vector<ShareRequest> requests;
  };
  std::vector<Entry> entries(kOptions.max_entries);
  int names = 0;
  const auto replace = [&](Entry& entry) {
    entry.holder = std::make_unique<ShareHolder>(
        common::StrCat("entry-", ++names), kOptions);
    entry.requests.clear();
    entry.grants.clear();
  };
  for (Entry& entry : entries) {
    entry.clock_rate = 1 + *rc::gen::inRange(-5, 6) / 1000.0;
    replace(entry);
  }
  auto issuer = std::make_unique<ShareIssuer>(kOptions, &LimitOf);
  common::Duration elapsed{};
  const auto clock_of = [&](const Entry& entry) {
    return kStart + std::chrono::duration_cast<common::Duration>(
                        elapsed * entry.clock_rate);
  };
  const int steps = *rc::gen::inRange(1, 800);
  for (int i = 0; i < steps; ++i) {
    elapsed += milliseconds(*rc::gen::inRange(0, 2000));
    Entry& entry = entries[*rc::gen::inRange<size_t>(0, entries.size())];
    const common::Time issuer_now = kStart + elapsed;
    switch (*rc::gen::weightedElement<int>(
        {{20, 0}, {20, 1}, {20, 2}, {1, 3}, {1, 4}})) {
      case 0: {
        const int arrivals = *rc::gen::element(0, 500);
        for (int j = 0; j < arrivals; ++j) {
          entry.holder->OnArrival("c");
        }
        entry.requests.push_back(entry.holder->MakeRequest(clock_of(entry)));
        break;
      }
      case 1:
        // An old request may be delivered after newer ones, or twice.
        if (!entry.requests.empty()) {
          entry.grants.push_back(issuer->OnRequest(
              *rc::gen::elementOf(entry.requests), issuer_now));
        }
        break;
      case 2:
        if (!entry.grants.empty()) {
          entry.holder->OnGrant(*rc::gen::elementOf(entry.grants),
                                clock_of(entry));
        }
        break;
      case 3:
        // The replacement uses the floor of the stopped entry.
        replace(entry);
        break;
      default:
        issuer = std::make_unique<ShareIssuer>(kOptions, &LimitOf);
        issuer->BeginTerm(issuer_now);
    }
    double sum = 0;
    for (const Entry& each : entries) {
      sum += each.holder->RateOf("c", kLimit, clock_of(each));
    }
    RC_ASSERT(sum <= kLimit + 1e-6);
  }
}

}  // namespace
}  // namespace wagtailshore::limit_shares
