#include "transport/stream_socket/listener.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <vector>

#include "common/event_log.h"
#include "common/strings.h"

namespace wagtailshore::stream_socket {
namespace {

// Leaves this process without a descriptor while it exists.
class NoDescriptors {
 public:
  NoDescriptors() {
    getrlimit(RLIMIT_NOFILE, &before_);
    const int next = dup(0);
    close(next);
    rlimit lowered = before_;
    lowered.rlim_cur = static_cast<rlim_t>(next);
    EXPECT_EQ(setrlimit(RLIMIT_NOFILE, &lowered), 0);
  }
  ~NoDescriptors() { setrlimit(RLIMIT_NOFILE, &before_); }
  NoDescriptors(const NoDescriptors&) = delete;
  NoDescriptors& operator=(const NoDescriptors&) = delete;

 private:
  rlimit before_{};
};

void RunFor(event_loop::EventLoop& loop, common::Duration length) {
  loop.RunAfter(length, [&loop] { loop.Stop(); });
  loop.Run();
}

// Guards against a loop that spins while a connection waits that cannot be
// accepted.
TEST(ListenerTest, LoopRestsWhileThereIsNoDescriptor) {
  event_loop::EventLoop loop;
  std::vector<int> accepted;
  const auto listener =
      Listener::Open(loop, "127.0.0.1:0",
                     [&](int descriptor) { accepted.push_back(descriptor); });
  ASSERT_TRUE(listener.ok());
  const auto connect_caller = [&] {
    const int caller = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons((*listener)->port());
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(connect(caller, reinterpret_cast<const sockaddr*>(&address),
                      sizeof(address)),
              0);
    return caller;
  };
  // The undefined-behaviour sanitizer needs descriptors of its own when it
  // first meets a type, so the calls that the test makes run once before.
  const int first = connect_caller();
  (void)Listener::Open(loop, "127.0.0.1:0", [](int) {});
  common::LogEvent(common::EventId::kCannotAccept, "error=none");
  RunFor(loop, common::milliseconds(10));
  ASSERT_EQ(accepted.size(), 1U);
  const int caller = connect_caller();
  int busy_periods = 0;
  loop.ObserveBusyPeriods(
      common::milliseconds(100),
      [&](const event_loop::BusyPeriod&) { ++busy_periods; });
  {
    const NoDescriptors none;
    RunFor(loop, common::milliseconds(500));
    EXPECT_EQ(accepted.size(), 1U);
  }
  EXPECT_EQ(busy_periods, 0);
  RunFor(loop, common::milliseconds(500));
  EXPECT_EQ(accepted.size(), 2U);
  for (const int descriptor : accepted) {
    close(descriptor);
  }
  close(first);
  close(caller);
}

}  // namespace
}  // namespace wagtailshore::stream_socket
