#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
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
// Endpoints that a content may crash through gateways that share each crash
// before they send it again.
constexpr size_t kMaxCrashes = 2;
constexpr common::Duration kDownTime = common::milliseconds(700);
constexpr common::Duration kRepeatInterval = common::milliseconds(100);
// Time in which a crash is detected and shared.
constexpr common::Duration kSharingTime = common::milliseconds(400);

// Endpoints that end when they run the crashing content, and what reached them.
class CrashingWorld {
 public:
  explicit CrashingWorld(const HostedWorldOptions& options,
                         EndpointEnd end = EndpointEnd::kCrash,
                         bool after_head = false)
      : options_(options), end_(end), after_head_(after_head), world_(options) {
    for (int i = 0; i < options.endpoints; ++i) {
      world_.endpoint(i).set_script(
          [this, i](const Received& request) { return Serve(i, request); });
    }
  }

  HostedWorld& world() { return world_; }
  const std::vector<common::Time>& arrivals() const { return arrivals_; }
  // Endpoints do not answer requests with this body until Unhold().
  void Hold(const std::string& body) { held_.insert(body); }
  void Unhold() { held_.clear(); }
  // While set, endpoints answer the crashing content with an error instead of
  // running it.
  void set_error_response(bool error_response) {
    error_response_ = error_response;
  }
  // Endpoints that received the body, in order.
  const std::vector<int>& EndpointsOf(const std::string& body) {
    return endpoints_by_body_[body];
  }

  CallerRequestOptions Request(const char* path,
                               const std::string& body,
                               int gateway = 0) {
    ++requests_;
    return {.path = path,
            .id = common::StrCat("r", requests_),
            .key = requests_ % 2 == 0 ? "key" : "other",
            .time_left_ms = 1500,
            .body = body,
            .gateway = gateway};
  }
  CallerRequestOptions Crashing(const char* path, int gateway = 0) {
    return Request(path, kCrashingBody, gateway);
  }

  void Run(common::Duration duration) { world_.RunFor(duration); }

  // Repeats the content every `interval` for `duration`, `at_once` requests
  // each time, through the gateways in turn.
  void Repeat(const char* path,
              int at_once,
              common::Duration interval,
              common::Duration duration) {
    const common::Time end = world_.loop().Now() + duration;
    int turn = 0;
    while (world_.loop().Now() < end) {
      const common::Time next = world_.loop().Now() + interval;
      std::vector<CallerRequestOptions> requests(at_once);
      for (CallerRequestOptions& request : requests) {
        request = Crashing(path, turn++ % options_.gateways);
      }
      world_.AskAll(requests);
      world_.RunUntilTime(next);
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

 private:
  Reply Serve(int index, const Received& request) {
    endpoints_by_body_[request.body].push_back(index);
    if (request.body == kCrashingBody && error_response_) {
      return Plain(request, 500, "error");
    }
    if (request.body == kCrashingBody) {
      arrivals_.push_back(world_.loop().Now());
      world_.EndEndpoint(index, kDownTime, end_);
      if (after_head_) {
        return {.bytes =
                    HeadOf(request, 200, "Transfer-Encoding: chunked\r\n") +
                    "\r\n"};
      }
      return {};
    }
    if (held_.contains(request.body)) {
      return {};
    }
    return request.head.target.starts_with("/stream/")
               ? Stream(request, 0, 4)
               : Plain(request, 200, "ok");
  }

  HostedWorldOptions options_;
  EndpointEnd end_;
  bool after_head_;
  HostedWorld world_;
  std::vector<common::Time> arrivals_;
  std::set<std::string> held_;
  bool error_response_ = false;
  std::map<std::string, std::vector<int>> endpoints_by_body_;
  int requests_ = 0;
};

bool AllOk(const std::vector<CallerAnswer>& answers) {
  return std::all_of(answers.begin(), answers.end(),
                     [](const CallerAnswer& answer) {
                       return answer.status == 200 && answer.complete;
                     });
}

struct RepeatCase {
  const char* name;
  const char* path;
  int gateways = 1;
  int at_once = 1;
  EndpointEnd end = EndpointEnd::kCrash;
  // Whether endpoints send the head of an answer before they end.
  bool after_head = false;
};

class CrashingContentTest : public testing::TestWithParam<RepeatCase> {};

TEST_P(CrashingContentTest, RepeatsThroughAnyGatewayStopReachingEndpoints) {
  const RepeatCase& param = GetParam();
  CrashingWorld crashing({.endpoints = 6, .gateways = param.gateways},
                         param.end, param.after_head);
  crashing.Repeat(param.path, param.at_once, kRepeatInterval,
                  kTimeToStop + common::seconds(3));
  EXPECT_GE(crashing.arrivals().size(), 1U);
  EXPECT_LE(crashing.LaterArrivals(), kMaxLaterArrivals);
}

INSTANTIATE_TEST_SUITE_P(
    Repeats,
    CrashingContentTest,
    testing::Values(
        RepeatCase{"SafeOneGateway", "/safe/x", 1},
        RepeatCase{"SafeManyGateways", "/safe/x", 4},
        RepeatCase{"OnceManyGateways", "/once/x", 4},
        RepeatCase{"StreamManyGateways", "/stream/x", 4},
        RepeatCase{"SafeManyAtOnce", "/safe/x", 4, 12},
        RepeatCase{"StreamManyAtOnce", "/stream/x", 4, 12},
        RepeatCase{"SafeSilent", "/safe/x", 4, 1, EndpointEnd::kSilence},
        RepeatCase{"StreamSilent", "/stream/x", 4, 4, EndpointEnd::kSilence},
        RepeatCase{"StreamSilentAfterHead", "/stream/x", 4, 4,
                   EndpointEnd::kSilence, true}),
    [](const auto& info) { return info.param.name; });

TEST(CrashingContentSharingTest,
     GatewaysThatShareCrashesLoseTwoEndpointsInAll) {
  CrashingWorld crashing({.endpoints = 6, .gateways = 4});
  crashing.Repeat("/once/x", 1, kSharingTime, common::seconds(5));
  EXPECT_EQ(crashing.arrivals().size(), kMaxCrashes);
  const CallerAnswer answer =
      crashing.world().Ask(crashing.Crashing("/once/x"));
  EXPECT_EQ(answer.status, 503);
  EXPECT_NE(answer.headers.Find("Retry-After"), nullptr);
}

// Guards against crashes through gateways whose long poll of the reports was
// lost and that learn of them only at its end.
TEST(CrashingContentSharingTest, LostPollDelaysNoReportBeyondTheTimeToStop) {
  CrashingWorld crashing(
      {.endpoints = 6, .gateways = 2, .feed_wait = common::seconds(20)});
  crashing.Run(common::milliseconds(500));
  crashing.world().store().LoseFeeds("crashes");
  for (size_t i = 0; i < kMaxCrashes; ++i) {
    crashing.world().Ask(crashing.Crashing("/once/x", /*gateway=*/0));
    crashing.Run(kSharingTime);
  }
  EXPECT_EQ(crashing.arrivals().size(), kMaxCrashes);
  crashing.Run(kTimeToStop - kSharingTime);
  EXPECT_EQ(
      crashing.world().Ask(crashing.Crashing("/once/x", /*gateway=*/1)).status,
      503);
  EXPECT_EQ(crashing.arrivals().size(), kMaxCrashes);
}

// Guards against a report that waits for a delay on top of the time in which
// its first writing got no answer.
TEST(CrashingContentSharingTest, LostReportIsWrittenAgainAtOnce) {
  // Before a report is written, the time of a call, and the least delay after
  // one that was refused.
  constexpr common::Duration kBatchDelay = common::milliseconds(50);
  constexpr common::Duration kCallTimeout = common::milliseconds(900);
  constexpr common::Duration kMinRetryDelay = common::milliseconds(150);
  constexpr common::Duration kLoss = common::milliseconds(200);
  CrashingWorld crashing({.endpoints = 6, .feed_wait = common::seconds(20)});
  FakeStore& store = crashing.world().store();
  common::Duration least_time = common::Duration::max();
  for (size_t i = 1; i <= kMaxCrashes; ++i) {
    crashing.Run(kDownTime);
    store.set_silent(true);
    const common::Time start = crashing.world().loop().Now();
    crashing.world().Ask(crashing.Crashing("/once/x"));
    crashing.Run(kLoss);
    store.set_silent(false);
    ASSERT_TRUE(
        crashing.world().RunUntil([&] { return store.rows("crashes") == i; }));
    least_time = std::min(least_time, crashing.world().loop().Now() - start);
  }
  EXPECT_LT(least_time, kBatchDelay + kCallTimeout + kMinRetryDelay);
}

TEST(CrashingContentSharingTest, ErrorResponseDoesNotClearAContent) {
  CrashingWorld crashing({.endpoints = 6, .gateways = 2});
  const auto send = [&] {
    const int status =
        crashing.world().Ask(crashing.Crashing("/once/x")).status;
    crashing.Run(kSharingTime);
    return status;
  };
  EXPECT_EQ(send(), 502);
  crashing.set_error_response(true);
  EXPECT_EQ(send(), 500);
  crashing.set_error_response(false);
  EXPECT_EQ(send(), 502);
  EXPECT_EQ(send(), 503);
  EXPECT_EQ(crashing.arrivals().size(), kMaxCrashes);
}

TEST(CrashingContentSharingTest, RestartedGatewayKnowsEarlierCrashes) {
  CrashingWorld crashing({.endpoints = 6, .gateways = 2});
  crashing.Repeat("/once/x", 1, kSharingTime, common::seconds(2));
  crashing.world().RestartGateway(0);
  crashing.world().RestartGateway(1);
  crashing.Run(kSharingTime);
  crashing.Repeat("/once/x", 1, kSharingTime, common::seconds(1));
  EXPECT_EQ(crashing.arrivals().size(), kMaxCrashes);
}

TEST(CrashingContentSharingTest, StoreOutageCostsTwoEndpointsForEachGateway) {
  CrashingWorld crashing({.endpoints = 6, .gateways = 3});
  crashing.world().store().set_down(true);
  crashing.Repeat("/once/x", 1, kSharingTime, common::seconds(4));
  EXPECT_LE(crashing.arrivals().size(), 3 * kMaxCrashes);
  crashing.world().store().set_down(false);
  crashing.Run(common::seconds(2));
  EXPECT_GT(crashing.world().store().rows("crashes"), 0U);
  const size_t before = crashing.arrivals().size();
  crashing.world().RestartGateway(0);
  crashing.Run(kSharingTime);
  crashing.Repeat("/once/x", 1, kSharingTime, common::seconds(2));
  EXPECT_EQ(crashing.arrivals().size(), before);
}

TEST(InnocentContentTest, RequestsBesideACrashingOneAreServedWhenRepeated) {
  constexpr int kRequests = 16;
  CrashingWorld crashing({.endpoints = 4, .gateways = 2});
  std::vector<CallerRequestOptions> requests;
  for (int i = 0; i < kRequests; ++i) {
    const std::string body = common::StrCat("innocent", i);
    crashing.Hold(body);
    requests.push_back(crashing.Request("/once/x", body, i % 2));
  }
  requests.push_back(crashing.Crashing("/once/x", 0));
  requests.push_back(crashing.Crashing("/once/x", 1));
  crashing.world().AskAll(requests);
  crashing.Unhold();
  crashing.Run(kDownTime + kSharingTime);
  std::vector<CallerRequestOptions> repeats;
  repeats.reserve(kRequests);
  for (int i = 0; i < kRequests; ++i) {
    repeats.push_back(crashing.Request("/once/x", common::StrCat("innocent", i),
                                       (i + 1) % 2));
  }
  EXPECT_TRUE(AllOk(crashing.world().AskAll(repeats)));
  crashing.Run(kSharingTime);
  // Only crashes of the crashing content are still recorded.
  EXPECT_LE(crashing.world().store().rows("crashes"), kMaxCrashes);
}

TEST(InnocentContentTest, FailureDomainsThatGoDownDoNotQuarantineWhatTheyRan) {
  constexpr int kRequests = 24;
  CrashingWorld crashing({.endpoints = 8, .gateways = 2, .failure_domains = 2});
  std::vector<std::string> bodies;
  for (int i = 0; i < kRequests; ++i) {
    bodies.push_back(common::StrCat("innocent", i));
    crashing.Hold(bodies.back());
  }
  // Both failure domains go down one after the other, so that the retries are
  // lost too.
  for (int domain = 0; domain < 2; ++domain) {
    crashing.world().loop().RunAfter(
        common::milliseconds(300 + 500 * domain), [&, domain] {
          for (int i = domain; i < 8; i += 2) {
            crashing.world().EndEndpoint(i, kDownTime);
          }
        });
  }
  std::vector<CallerRequestOptions> requests;
  requests.reserve(kRequests);
  for (int i = 0; i < kRequests; ++i) {
    requests.push_back(crashing.Request("/safe/x", bodies[i], i % 2));
  }
  crashing.world().AskAll(requests);
  int lost_twice = 0;
  for (const std::string& body : bodies) {
    lost_twice += crashing.EndpointsOf(body).size() >= 2 ? 1 : 0;
  }
  EXPECT_GT(lost_twice, 0);
  crashing.Unhold();
  crashing.Run(kDownTime + kSharingTime);
  std::vector<CallerRequestOptions> repeats;
  repeats.reserve(kRequests);
  for (int i = 0; i < kRequests; ++i) {
    repeats.push_back(crashing.Request("/safe/x", bodies[i], (i + 1) % 2));
  }
  EXPECT_TRUE(AllOk(crashing.world().AskAll(repeats)));
}

TEST(InnocentContentTest, ConnectionsThatEndpointsResetAreNoCrashes) {
  HostedWorld world(HostedWorldOptions{.endpoints = 4, .gateways = 1});
  world.Script([](const Received&) { return Reply{.reset = true}; });
  for (int i = 0; i < 4; ++i) {
    EXPECT_EQ(world.Ask({.id = common::StrCat("r", i)}).status, 502);
  }
  world.Script(
      [](const Received& request) { return Plain(request, 200, "ok"); });
  EXPECT_EQ(world.Ask({.id = "last"}).status, 200);
  EXPECT_EQ(world.store().rows("crashes"), 0U);
}

TEST(InnocentContentTest, EndpointsThatWereCutOffDoNotCountAsCrashed) {
  HostedWorld world(HostedWorldOptions{
      .endpoints = 4, .endpoint_heartbeat = common::milliseconds(100)});
  // The endpoints are unreachable for a while, but stay listed with the same
  // start time.
  int cut_off = 0;
  for (int i = 0; i < 4; ++i) {
    world.endpoint(i).set_script([&, i](const Received&) {
      ++cut_off;
      world.loop().Post([&world, i] { world.endpoint(i).Crash(); });
      return Reply{};
    });
  }
  world.Ask({.id = "r1"});
  world.RunUntil([&] { return world.store().rows("crashes") == 2; });
  EXPECT_EQ(cut_off, 2);
  EXPECT_EQ(world.Ask({.id = "r2"}).status, 503);
  world.Script(
      [](const Received& request) { return Plain(request, 200, "ok"); });
  EXPECT_TRUE(
      world.RunUntil([&] { return world.store().rows("crashes") == 0; }));
  EXPECT_EQ(world.Ask({.id = "r3"}).status, 200);
}

}  // namespace
}  // namespace wagtailshore::hosted_world
