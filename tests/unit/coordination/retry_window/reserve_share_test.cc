#include "coordination/retry_window/reserve_share.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>
#include <set>
#include <vector>

#include "coordination/retry_window/retry_window.h"

namespace wagtailshore::retry_window {
namespace {

constexpr common::Duration kWindow = common::seconds(10);
const common::Time kStart{common::seconds(1000)};

// A fleet of gateways that come and go, the table in which they register, and
// as many retries as the gateways allow.
struct FleetCase {
  const char* name;
  int gateways;
  double reserve;
  // Chance that a gateway restarts, in each second.
  double restarts = 0;
  // Seconds at which the number of gateways doubles.
  std::set<int> scale_out = {};
  // Seconds within which the table cannot be reached, and at which it goes back
  // to its state of 5 s before.
  std::pair<int, int> outage = {0, 0};
  std::set<int> goes_back = {};
  uint64_t seed = 1;
};

class FleetSimulation {
 public:
  explicit FleetSimulation(const FleetCase& param)
      : param_(param), random_(param.seed) {
    for (int i = 0; i < param.gateways; ++i) {
      Add();
    }
  }

  // Returns the times of all retries in `seconds`.
  std::vector<common::Time> Run(int seconds) {
    constexpr int kTicksPerSecond = 10;
    for (int second = 0; second < seconds; ++second) {
      copies_.push_back(table_);
      if (copies_.size() > 5) {
        copies_.pop_front();
      }
      if (param_.goes_back.contains(second)) {
        table_ = copies_.front();
        ++era_;
      }
      if (param_.scale_out.contains(second)) {
        for (size_t left = gateways_.size(); left > 0; --left) {
          Add();
        }
      }
      for (Gateway& gateway : gateways_) {
        if (WithProbability(param_.restarts)) {
          gateway = NewGateway(gateway.id);
        }
      }
      for (int tick = 0; tick < kTicksPerSecond; ++tick) {
        now_ += common::milliseconds(1000 / kTicksPerSecond);
        const bool away =
            second >= param_.outage.first && second < param_.outage.second;
        for (Gateway& gateway : gateways_) {
          if (!away) {
            UseTable(gateway);
          }
          while (gateway.window.TryTake(gateway.share.At(now_), now_)) {
            retries_.push_back(now_);
          }
        }
      }
    }
    return retries_;
  }

 private:
  struct Gateway {
    int id = 0;
    RetryWindow window;
    ReserveShare share;
    bool registered = false;
    int era = 0;
    common::Time next_call{};
  };

  bool WithProbability(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }
  Gateway NewGateway(int id) {
    return {
        .id = id,
        .window = RetryWindow({.window = kWindow, .ratio = 0}),
        .share = ReserveShare({.reserve = param_.reserve, .window = kWindow}),
        .era = era_,
        .next_call = now_ + Jitter()};
  }
  common::Duration Jitter() {
    return common::milliseconds(
        std::uniform_int_distribution<int>(0, 1000)(random_));
  }
  void Add() { gateways_.push_back(NewGateway(next_id_++)); }
  void UseTable(Gateway& gateway) {
    if (now_ < gateway.next_call) {
      return;
    }
    if (gateway.era != era_) {
      gateway.era = era_;
      gateway.registered = false;
      gateway.share.OnTableRestored();
      gateway.next_call = now_ + Jitter();
      return;
    }
    gateway.share.OnCounted(table_.size(), now_);
    if (!gateway.registered) {
      table_.insert(gateway.id);
      gateway.registered = true;
      gateway.share.OnRegistered(now_);
    }
    gateway.next_call = now_ + common::seconds(8) + Jitter();
  }

  FleetCase param_;
  std::mt19937_64 random_;
  common::Time now_ = kStart;
  std::vector<Gateway> gateways_;
  int next_id_ = 0;
  std::set<int> table_;
  int era_ = 0;
  std::deque<std::set<int>> copies_;
  std::vector<common::Time> retries_;
};

class SumOverGatewaysTest : public testing::TestWithParam<FleetCase> {};

// Guards against a retry budget that each of many gateways divides by a fixed
// number, or that every restart renews.
TEST_P(SumOverGatewaysTest, NoWindowExceedsTheReserve) {
  FleetSimulation simulation(GetParam());
  const std::vector<common::Time> retries = simulation.Run(120);
  size_t most = 0;
  size_t first = 0;
  for (size_t last = 0; last < retries.size(); ++last) {
    while (retries[first] <= retries[last] - kWindow) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  EXPECT_LE(static_cast<double>(most), GetParam().reserve);
  // The reserve is of use, not only safe.
  EXPECT_GE(static_cast<double>(most), GetParam().reserve / 4);
}

INSTANTIATE_TEST_SUITE_P(Fleets,
                         SumOverGatewaysTest,
                         testing::Values(FleetCase{"one", 1, 88},
                                         FleetCase{"six", 6, 88},
                                         FleetCase{"many", 47, 252},
                                         FleetCase{"target", 400, 1600},
                                         FleetCase{.name = "six_restarting",
                                                   .gateways = 6,
                                                   .reserve = 88,
                                                   .restarts = 0.02,
                                                   .seed = 2},
                                         FleetCase{.name = "many_restarting",
                                                   .gateways = 47,
                                                   .reserve = 252,
                                                   .restarts = 0.01,
                                                   .seed = 3},
                                         FleetCase{.name = "scale_out",
                                                   .gateways = 6,
                                                   .reserve = 88,
                                                   .scale_out = {40, 45, 71},
                                                   .seed = 4},
                                         FleetCase{
                                             .name = "outage_and_scale_out",
                                             .gateways = 12,
                                             .reserve = 100,
                                             .scale_out = {52},
                                             .outage = {50, 70},
                                             .seed = 5},
                                         FleetCase{.name = "table_goes_back",
                                                   .gateways = 47,
                                                   .reserve = 252,
                                                   .scale_out = {57},
                                                   .goes_back = {60, 62, 90},
                                                   .seed = 6}),
                         [](const auto& test) { return test.param.name; });

}  // namespace
}  // namespace wagtailshore::retry_window
