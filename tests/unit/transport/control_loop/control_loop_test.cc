#include "transport/control_loop/control_loop.h"

#include <gtest/gtest.h>

#include <thread>
#include <vector>

namespace wagtailshore::control_loop {
namespace {

TEST(ControlLoopTest, RunsEveryCallOnOneThread) {
  constexpr int kThreads = 8;
  constexpr int kCalls = 2000;
  // Not synchronized on purpose: only the control thread accesses it.
  int count = 0;
  {
    ControlLoop loop;
    const auto control_thread =
        loop.Call([] { return std::this_thread::get_id(); });
    std::vector<std::thread> threads;
    threads.reserve(kThreads);
    for (int i = 0; i < kThreads; ++i) {
      threads.emplace_back([&] {
        for (int j = 0; j < kCalls; ++j) {
          const auto id = loop.Call([&] {
            ++count;
            return std::this_thread::get_id();
          });
          EXPECT_EQ(id, control_thread);
        }
      });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
  }
  EXPECT_EQ(count, kThreads * kCalls);
}

TEST(ControlLoopTest, RunsWhatWasPostedBeforeItEnds) {
  bool ran = false;
  {
    ControlLoop loop;
    loop.Post([&] { ran = true; });
  }
  EXPECT_TRUE(ran);
}

TEST(ControlLoopTest, RepeatsPeriodicTasks) {
  ControlLoop loop;
  std::promise<void> third_run;
  int runs = 0;
  loop.Every(common::milliseconds(1), [&] {
    if (++runs == 3) {
      third_run.set_value();
    }
  });
  third_run.get_future().wait();
}

}  // namespace
}  // namespace wagtailshore::control_loop
