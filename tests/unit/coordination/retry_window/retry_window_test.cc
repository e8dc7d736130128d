#include "coordination/retry_window/retry_window.h"

#include <gtest/gtest.h>

#include <random>
#include <vector>

namespace wagtailshore::retry_window {
namespace {

const common::Time kStart{common::seconds(100)};

TEST(RetryWindowTest, ReserveIsThereWithoutRequests) {
  RetryWindow window({.ratio = 0.2});
  // Half of the share can be taken at once.
  EXPECT_TRUE(window.TryTake(4, kStart));
  EXPECT_TRUE(window.TryTake(4, kStart));
  EXPECT_FALSE(window.TryTake(4, kStart));
}

TEST(RetryWindowTest, BudgetComesBackWhenTheWindowHasPassed) {
  RetryWindow window({.window = common::seconds(10), .ratio = 1});
  window.OnRequest(kStart);
  EXPECT_TRUE(window.TryTake(0, kStart));
  window.OnRequest(kStart + common::milliseconds(9000));
  EXPECT_FALSE(window.TryTake(0, kStart + common::milliseconds(9999)) &&
               window.TryTake(0, kStart + common::milliseconds(9999)));
  window.OnRequest(kStart + common::seconds(10));
  EXPECT_TRUE(window.TryTake(0, kStart + common::seconds(10)));
}

// Even if every request needs a retry, no window, wherever it starts, contains
// more retries than allowed.
TEST(RetryWindowTest, NoSlidingWindowExceedsTheBound) {
  constexpr RetryWindowOptions kOptions = {.window = common::seconds(10),
                                           .ratio = 0.2};
  constexpr double kReserveShare = 5;
  RetryWindow window(kOptions);
  std::mt19937 random(7);
  std::vector<common::Time> requests;
  std::vector<common::Time> retries;
  common::Time now = kStart;
  for (int i = 0; i < 3000; ++i) {
    now +=
        common::milliseconds(std::uniform_int_distribution<int>(1, 60)(random));
    window.OnRequest(now);
    requests.push_back(now);
    if (window.TryTake(kReserveShare, now)) {
      retries.push_back(now);
    }
  }
  for (const common::Time& last : retries) {
    const auto in_window = [&](const common::Time& at) {
      return at <= last && at > last - kOptions.window;
    };
    const auto taken = std::count_if(retries.begin(), retries.end(), in_window);
    const auto seen =
        std::count_if(requests.begin(), requests.end(), in_window);
    EXPECT_LE(static_cast<double>(taken),
              kReserveShare + kOptions.ratio * static_cast<double>(seen));
  }
  EXPECT_GT(retries.size(), 300U);
}

}  // namespace
}  // namespace wagtailshore::retry_window
