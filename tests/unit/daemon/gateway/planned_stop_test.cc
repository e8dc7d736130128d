#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "common/strings.h"
#include "support/hosted_world.h"
#include "transport/http_channel/http_call.h"

// A gateway that is stopped with a stop signal.
namespace wagtailshore::hosted_world {
namespace {

constexpr common::Duration kGrace = common::milliseconds(1800);

Reply Answer(const Received& request, common::Duration delay) {
  const std::string* id =
      request.head.headers.Find("X-Wagtailshore-Attempt-Id");
  return {.bytes = common::StrCat(
              "HTTP/1.1 200 OK\r\nX-Wagtailshore-Attempt-Id: ", *id,
              "\r\nX-Wagtailshore-Server-Seal: s\r\nContent-Length: 2\r\n\r\n"
              "ok"),
          .delay = delay};
}

struct StopCase {
  const char* name;
  const char* path;
  // From the stop signal on; before it if negative.
  int asked_after_ms;
  int answered_after_ms;
  int status;
};

std::ostream& operator<<(std::ostream& out, const StopCase& param) {
  return out << param.name;
}

class PlannedStopTest : public testing::TestWithParam<StopCase> {};

// Guards against requests that are cut without an answer because they are still
// open when the time until the kill is over.
TEST_P(PlannedStopTest, OpenRequestGetsAFinalAnswer) {
  const StopCase& param = GetParam();
  HostedWorld world({.stop_grace = kGrace});
  world.Script([&](const Received& request) {
    return Answer(request, common::milliseconds(param.answered_after_ms));
  });
  const common::Duration asked_after =
      common::milliseconds(param.asked_after_ms);
  common::Time killed_at{};
  const auto stop = [&] {
    killed_at = world.loop().Now() + kGrace;
    world.gateway().Drain();
  };
  if (asked_after < common::Duration::zero()) {
    world.loop().RunAfter(-asked_after, stop);
  } else {
    stop();
    world.RunFor(asked_after);
  }
  const CallerAnswer answer =
      world.Ask({.path = param.path, .time_left_ms = 10'000});
  EXPECT_EQ(answer.status, param.status);
  EXPECT_TRUE(answer.complete);
  EXPECT_LT(world.loop().Now(), killed_at);
}

INSTANTIATE_TEST_SUITE_P(
    Requests,
    PlannedStopTest,
    testing::Values(
        StopCase{"AnsweredInTime", "/once/x", 100, 600, 200},
        StopCase{"AskedBeforeAnsweredInTime", "/once/x", -200, 1200, 200},
        StopCase{"AskedBeforeStillRunning", "/once/x", -200, 5000, 504},
        StopCase{"UnsafeStillRunning", "/once/x", 300, 5000, 504},
        StopCase{"SafeStillRunning", "/safe/x", 300, 5000, 504},
        StopCase{"StreamNotBegun", "/stream/x", 300, 5000, 504}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against new work late in a grace that is shorter than the load
// balancer's delay: the kill would cut it.
TEST(PlannedStopLateTest, RequestOnAKeptConnectionIsNotTaken) {
  HostedWorld world({.stop_grace = kGrace});
  http_channel::EndpointPool pool(world.loop(), {});
  http_channel::HttpCaller caller(world.loop(), pool);
  const std::string address =
      common::StrCat("127.0.0.1:", world.gateway().caller_port());
  const auto ask = [&] {
    std::optional<http_channel::CallResult> result;
    caller.Start(
        address, {.method = "POST", .target = "/once/x", .body = "x"}, kGrace,
        [&](const http_channel::CallResult& answer) { result = answer; });
    EXPECT_TRUE(world.RunUntil([&] { return result.has_value(); }));
    // 0: the connection was closed.
    return result->ok() ? (*result)->status : 0;
  };
  // The route is not known under this host.
  EXPECT_EQ(ask(), 404);
  world.gateway().Drain();
  world.RunFor(kGrace / 2);
  EXPECT_THAT(ask(), testing::AnyOf(0, 503));
  EXPECT_EQ(world.arrivals(), 0U);
}

}  // namespace
}  // namespace wagtailshore::hosted_world
