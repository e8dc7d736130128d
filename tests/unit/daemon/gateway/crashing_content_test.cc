#include <gtest/gtest.h>

#include <vector>

#include "common/strings.h"
#include "support/hosted_world.h"

namespace wagtailshore::hosted_world {
namespace {

constexpr char kCrashingBody[] = "crashes every endpoint that runs it";
// After the third crash the system has this long to stop the content, and may
// send it this many times later on.
constexpr common::Duration kTimeToStop = common::seconds(3);
constexpr size_t kMaxLaterArrivals = 3;
constexpr common::Duration kDownTime = common::milliseconds(700);
constexpr common::Duration kRepeatInterval = common::milliseconds(100);

// Endpoints that crash when they run the content, and what reached them.
class CrashingWorld {
 public:
  explicit CrashingWorld(const HostedWorldOptions& options) : world_(options) {
    for (int i = 0; i < options.endpoints; ++i) {
      world_.endpoint(i).set_script(
          [this, i](const Received& request) { return Serve(i, request); });
    }
  }

  HostedWorld& world() { return world_; }
  const std::vector<common::Time>& arrivals() const { return arrivals_; }

  // Repeats the content every `interval` for `duration` through the gateways
  // in turn, with new ids and with either key of the customer.
  void Repeat(const char* path,
              int gateways,
              common::Duration interval,
              common::Duration duration) {
    const common::Time end = world_.loop().Now() + duration;
    for (int i = 0; world_.loop().Now() < end; ++i) {
      const common::Time next = world_.loop().Now() + interval;
      last_answer_ = world_.Ask({.path = path,
                                 .id = common::StrCat("bad", ++requests_),
                                 .key = i % 2 == 0 ? "key" : "other",
                                 .body = kCrashingBody,
                                 .gateway = i % gateways});
      world_.RunUntil([&] { return world_.loop().Now() >= next; });
    }
  }

  // Arrivals later than the time to stop after the third crash. Every arrival
  // is a crash.
  size_t LaterArrivals() const {
    if (arrivals_.size() < 3) {
      return 0;
    }
    const common::Time limit = arrivals_[2] + kTimeToStop;
    return std::count_if(arrivals_.begin(), arrivals_.end(),
                         [&](common::Time at) { return at > limit; });
  }
  const CallerAnswer& last_answer() const { return last_answer_; }

 private:
  Reply Serve(int index, const Received& request) {
    if (request.body != kCrashingBody) {
      return request.head.target.starts_with("/stream/")
                 ? Stream(request, 0, 4)
                 : Plain(request, 200, "ok");
    }
    arrivals_.push_back(world_.loop().Now());
    world_.CrashEndpoint(index, kDownTime);
    return {};
  }

  HostedWorld world_;
  std::vector<common::Time> arrivals_;
  CallerAnswer last_answer_;
  int requests_ = 0;
};

struct RepeatCase {
  const char* name;
  const char* path;
  int gateways;
};

class CrashingContentTest : public testing::TestWithParam<RepeatCase> {};

TEST_P(CrashingContentTest, RepeatsThroughAnyGatewayStopReachingEndpoints) {
  const RepeatCase& param = GetParam();
  CrashingWorld crashing({.endpoints = 6, .gateways = param.gateways});
  crashing.Repeat(param.path, param.gateways, kRepeatInterval,
                  kTimeToStop + common::seconds(3));
  EXPECT_GE(crashing.arrivals().size(), 1U);
  EXPECT_LE(crashing.LaterArrivals(), kMaxLaterArrivals);
}

INSTANTIATE_TEST_SUITE_P(
    Repeats,
    CrashingContentTest,
    testing::Values(RepeatCase{"SafeOneGateway", "/safe/x", 1},
                    RepeatCase{"SafeManyGateways", "/safe/x", 4},
                    RepeatCase{"OnceManyGateways", "/once/x", 4},
                    RepeatCase{"StreamManyGateways", "/stream/x", 4}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace wagtailshore::hosted_world
