#include "transport/event_loop/event_loop.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <functional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace wagtailshore::event_loop {
namespace {

// Counts its events and reads what has arrived.
class CountingWatcher final : public Watcher {
 public:
  explicit CountingWatcher(int descriptor) : descriptor_(descriptor) {}

  void OnReadable() override {
    ++readable_;
    if (on_readable_) {
      on_readable_();
    }
    std::array<char, 16> buffer;
    std::ignore = read(descriptor_, buffer.data(), buffer.size());
  }
  void OnWritable() override {}

  void set_on_readable(std::function<void()> call) {
    on_readable_ = std::move(call);
  }
  int readable() const { return readable_; }

 private:
  int descriptor_;
  int readable_ = 0;
  std::function<void()> on_readable_;
};

class EventLoopTest : public testing::Test {
 protected:
  EventLoopTest() { Open(); }
  ~EventLoopTest() override { Close(); }

  void Open() {
    ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, pair_.data()),
              0);
  }
  void Close() const {
    close(pair_[0]);
    close(pair_[1]);
  }
  void Send() const { ASSERT_EQ(write(pair_[1], "x", 1), 1); }
  // Runs the loop long enough for the events that are ready.
  void Run() {
    loop_.RunAfter(common::milliseconds(20), [this] { loop_.Stop(); });
    loop_.Run();
  }

  EventLoop loop_;
  // The first end is watched.
  std::array<int, 2> pair_{};
};

TEST_F(EventLoopTest, EmptyInterestDelaysEvents) {
  CountingWatcher watcher(pair_[0]);
  loop_.Watch(pair_[0], &watcher, {.readable = true});
  loop_.Watch(pair_[0], &watcher, {});
  Send();
  Run();
  EXPECT_EQ(watcher.readable(), 0);
  loop_.Watch(pair_[0], &watcher, {.readable = true});
  Run();
  EXPECT_EQ(watcher.readable(), 1);
  loop_.Unwatch(pair_[0]);
}

// How a descriptor loses its interest before it is unwatched.
struct IdleCase {
  const char* name;
  // Whether its watcher drops the interest while it is called.
  bool in_a_call = false;
  bool peer_hangs_up = false;
};

class IdleDescriptorTest : public EventLoopTest,
                           public testing::WithParamInterface<IdleCase> {};

// Guards against a descriptor that stays bound to its watcher when it is
// unwatched without an interest: the next descriptor with its number then calls
// a handler that no longer exists, which ended the process.
TEST_P(IdleDescriptorTest, NumberOfAnUnwatchedDescriptorCanBeUsedAgain) {
  const int number = pair_[0];
  {
    CountingWatcher watcher(number);
    loop_.Watch(number, &watcher, {.readable = true});
    if (GetParam().in_a_call) {
      watcher.set_on_readable(
          [&] { loop_.Watch(number, &watcher, Interest{}); });
      Send();
      Run();
    }
    loop_.Watch(number, &watcher, {});
    if (GetParam().peer_hangs_up) {
      shutdown(pair_[1], SHUT_RDWR);
      Run();
    }
    loop_.Unwatch(number);
  }
  Run();
  Close();
  Open();
  ASSERT_EQ(pair_[0], number);
  // Takes the memory of what belonged to the first descriptor.
  CountingWatcher other(pair_[1]);
  loop_.Watch(pair_[1], &other, {.readable = true});
  CountingWatcher next(number);
  loop_.Watch(number, &next, {.readable = true});
  Send();
  Run();
  EXPECT_EQ(next.readable(), 1);
  EXPECT_EQ(other.readable(), 0);
  loop_.Unwatch(pair_[1]);
  loop_.Unwatch(number);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    IdleDescriptorTest,
    testing::Values(IdleCase{"Idle"},
                    IdleCase{.name = "InACall", .in_a_call = true},
                    IdleCase{.name = "HungUp", .peer_hangs_up = true}),
    [](const auto& test) { return std::string(test.param.name); });

// A peer that hangs up while nothing is awaited is noticed afterwards.
TEST_F(EventLoopTest, HangUpWithoutAnInterestIsReportedLater) {
  CountingWatcher watcher(pair_[0]);
  loop_.Watch(pair_[0], &watcher, {});
  shutdown(pair_[1], SHUT_RDWR);
  Run();
  EXPECT_EQ(watcher.readable(), 0);
  loop_.Watch(pair_[0], &watcher, {.readable = true});
  Run();
  EXPECT_GT(watcher.readable(), 0);
  loop_.Unwatch(pair_[0]);
}

class BusyPeriodTest : public EventLoopTest {
 protected:
  void Hold(common::Duration duration) {
    const common::Time end = loop_.Now() + duration;
    while (loop_.Now() < end) {
    }
  }
};

TEST_F(BusyPeriodTest, NamesWhatHeldTheLoop) {
  std::vector<BusyPeriod> periods;
  loop_.ObserveBusyPeriods(
      common::milliseconds(30),
      [&](const BusyPeriod& period) { periods.push_back(period); });
  loop_.RunAfter(
      common::milliseconds(1), [&] { Hold(common::milliseconds(40)); }, "map");
  Run();
  ASSERT_EQ(periods.size(), 1U);
  EXPECT_GE(periods.front().length, common::milliseconds(40));
  EXPECT_EQ(periods.front().longest_activity, "map");
  EXPECT_GE(periods.front().longest, common::milliseconds(40));
  EXPECT_GE(periods.front().spent.at("map"), common::milliseconds(40));
}

TEST_F(BusyPeriodTest, EventsThatWaitedAreHandledInIt) {
  CountingWatcher watcher(pair_[0]);
  loop_.Watch(pair_[0], &watcher, {.readable = true});
  common::Duration busy{};
  watcher.set_on_readable([&] { busy = loop_.busy_for(); });
  loop_.RunAfter(common::milliseconds(5), [&] {
    Send();
    Hold(common::milliseconds(25));
  });
  Run();
  Run();
  EXPECT_GE(busy, common::milliseconds(25));
  loop_.RunAfter(common::milliseconds(5), [&] { Send(); });
  Run();
  EXPECT_LT(busy, common::milliseconds(25));
  loop_.Unwatch(pair_[0]);
}

}  // namespace
}  // namespace wagtailshore::event_loop
