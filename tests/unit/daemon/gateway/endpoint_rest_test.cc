#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/strings.h"
#include "support/hosted_world.h"

namespace wagtailshore::hosted_world {
namespace {

// An endpoint that asks for rest may get this many requests of the gateway that
// it asked, from this long after it did.
constexpr size_t kMaxArrivals = 2;
constexpr common::Duration kTimeToAdapt = common::milliseconds(500);
constexpr common::Duration kRoundInterval = common::milliseconds(25);
constexpr common::Duration kServiceTime = common::milliseconds(30);
constexpr int kEndpoints = 3;

struct RestCase {
  const char* name;
  int gateways = 1;
  // Endpoints that ask for rest.
  int resting = 1;
  // What each request asks for that an endpoint refuses, in turn; the last one
  // stays.
  std::vector<double> seconds = {2};
  // How many requests each of them refuses before it serves again.
  int refusals = 1;
  const char* path = "/safe/x";
  int per_round = 9;
  // The endpoint's entry is away for a while and comes back unchanged.
  bool relisted = false;
};

std::ostream& operator<<(std::ostream& out, const RestCase& param) {
  return out << param.name;
}

class RestWorld {
 public:
  explicit RestWorld(const RestCase& param)
      : param_(param),
        world_({.endpoints = kEndpoints, .gateways = param.gateways}),
        endpoints_(kEndpoints) {
    for (int i = 0; i < kEndpoints; ++i) {
      world_.endpoint(i).set_script(
          [this, i](const Received& request) { return Serve(i, request); });
    }
  }

  common::Time Now() const { return world_.loop().Now(); }
  HostedWorld& world() { return world_; }
  // From now on the endpoints refuse and ask for rest.
  void BeginRefusals() {
    for (int i = 0; i < param_.resting; ++i) {
      endpoints_[i].refusals_left = param_.refusals;
    }
  }

  void Run(common::Duration duration) {
    const common::Time end = Now() + duration;
    while (Now() < end) {
      const common::Time next = Now() + kRoundInterval;
      std::vector<CallerRequestOptions> requests;
      requests.reserve(param_.per_round);
      for (int i = 0; i < param_.per_round; ++i) {
        const int gateway = ++requests_ % param_.gateways;
        requests.push_back({.path = param_.path,
                            .id = common::StrCat(gateway, "-", requests_),
                            .body = common::StrCat("body ", requests_),
                            .gateway = gateway});
      }
      const common::Time asked = Now();
      for (const CallerAnswer& answer : world_.AskAll(requests)) {
        served_ += answer.status == 200 ? 1 : 0;
        const bool refused = answer.status == 503 &&
                             answer.headers.Find("Retry-After") != nullptr;
        unexpected_ += answer.status == 200 || refused ? 0 : 1;
        refused_ += refused ? 1 : 0;
      }
      longest_round_ = std::max(longest_round_, Now() - asked);
      world_.RunUntilTime(next);
    }
  }

  // Most requests of one gateway that reached an endpoint in one of the times
  // of rest that it asked this gateway for.
  size_t MostArrivalsInRest() const {
    size_t most = 0;
    for (const Endpoint& endpoint : endpoints_) {
      for (const Rest& rest : endpoint.rests) {
        const auto found = endpoint.arrivals.find(rest.gateway);
        most = std::max<size_t>(
            most, std::count_if(found->second.begin(), found->second.end(),
                                [&](common::Time at) {
                                  return at > rest.from + kTimeToAdapt &&
                                         at < rest.until;
                                }));
      }
    }
    return most;
  }
  // Requests that reached the endpoint since `from`.
  size_t Arrivals(int endpoint, common::Time from) const {
    size_t sum = 0;
    for (const auto& [gateway, arrivals] : endpoints_[endpoint].arrivals) {
      sum += std::count_if(arrivals.begin(), arrivals.end(),
                           [&](common::Time at) { return at >= from; });
    }
    return sum;
  }
  // The end of the last time of rest.
  common::Time RestsUntil() const {
    common::Time until{};
    for (const Endpoint& endpoint : endpoints_) {
      for (const Rest& rest : endpoint.rests) {
        until = std::max(until, rest.until);
      }
    }
    return until;
  }
  int served() const { return served_; }
  int refused() const { return refused_; }
  int unexpected() const { return unexpected_; }
  common::Duration longest_round() const { return longest_round_; }

 private:
  struct Rest {
    std::string gateway;
    common::Time from{};
    common::Time until{};
  };
  struct Endpoint {
    int refusals_left = 0;
    int refused = 0;
    std::map<std::string, std::vector<common::Time>> arrivals;
    std::vector<Rest> rests;
  };

  Reply Serve(int index, const Received& request) {
    Endpoint& endpoint = endpoints_[index];
    const std::string id =
        *request.head.headers.Find("X-Wagtailshore-Attempt-Id");
    const std::string gateway = id.substr(0, id.find('-'));
    endpoint.arrivals[gateway].push_back(Now());
    if (endpoint.refusals_left > 0) {
      --endpoint.refusals_left;
      const size_t last = param_.seconds.size() - 1;
      const double seconds =
          param_.seconds[std::min<size_t>(endpoint.refused++, last)];
      endpoint.rests.push_back(
          {.gateway = gateway,
           .from = Now(),
           .until = Now() + std::chrono::duration_cast<common::Duration>(
                                std::chrono::duration<double>(seconds))});
      return {.bytes = common::StrCat(
                  HeadOf(request, 503,
                         common::StrCat("X-Wagtailshore-Not-Executed: 1\r\n"
                                        "Retry-After: ",
                                        seconds, "\r\nContent-Length: 0\r\n")),
                  "\r\n")};
    }
    Reply reply = request.head.target.starts_with("/stream/")
                      ? Stream(request, 0, 2)
                      : Plain(request, 200, "ok");
    reply.delay = kServiceTime;
    return reply;
  }

  RestCase param_;
  mutable HostedWorld world_;
  std::vector<Endpoint> endpoints_;
  int requests_ = 0;
  int served_ = 0;
  int refused_ = 0;
  int unexpected_ = 0;
  common::Duration longest_round_{};
};

class EndpointRestTest : public testing::TestWithParam<RestCase> {};

TEST_P(EndpointRestTest, EndpointThatAskedForRestIsLeftAlone) {
  const RestCase& param = GetParam();
  RestWorld resting(param);
  resting.Run(common::milliseconds(300));
  resting.BeginRefusals();
  resting.Run(common::milliseconds(200));
  if (param.relisted) {
    resting.world().store().RemoveEndpoint("e0");
    resting.Run(common::milliseconds(2500));
    resting.world().store().SetEndpoint(
        "e0",
        HostedWorld::EndpointEntry(resting.world().endpoint(0).address()));
  }
  while (resting.Now() < resting.RestsUntil()) {
    resting.Run(common::milliseconds(100));
  }
  EXPECT_GT(resting.RestsUntil(), common::Time{});
  EXPECT_LE(resting.MostArrivalsInRest(), kMaxArrivals);
  EXPECT_EQ(resting.unexpected(), 0);
  EXPECT_GT(resting.served(), 0);
  // What cannot be served is refused at once.
  EXPECT_LT(resting.longest_round(), common::milliseconds(500));
  const common::Time over = resting.Now();
  resting.Run(common::milliseconds(1500));
  for (int i = 0; i < param.resting; ++i) {
    EXPECT_GT(resting.Arrivals(i, over), 0U);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Rests,
    EndpointRestTest,
    testing::Values(
        RestCase{.name = "OneGateway"},
        RestCase{.name = "ThreeGateways", .gateways = 3, .refusals = 3},
        RestCase{.name = "Fraction", .seconds = {1.5}},
        RestCase{.name = "Streams", .path = "/stream/x"},
        RestCase{.name = "Unsafe", .path = "/once/x"},
        RestCase{.name = "AllEndpoints", .resting = kEndpoints},
        RestCase{.name = "LittleLoad", .resting = kEndpoints, .per_round = 1},
        RestCase{.name = "ShorterOneLater", .seconds = {3, 0.7}, .refusals = 2},
        RestCase{.name = "LongerOneLater", .seconds = {0.7, 3}, .refusals = 2},
        RestCase{.name = "Relisted", .seconds = {8}, .relisted = true}),
    [](const auto& info) { return info.param.name; });

TEST(EndpointRestEndTest, RestartedEndpointIsUsedAgain) {
  RestWorld resting({.name = "restart", .seconds = {30}});
  resting.Run(common::milliseconds(300));
  resting.BeginRefusals();
  resting.Run(common::milliseconds(500));
  resting.world().EndEndpoint(0, common::milliseconds(100));
  resting.Run(common::milliseconds(2500));
  const common::Time restarted = resting.Now();
  resting.Run(common::milliseconds(500));
  EXPECT_GT(resting.Arrivals(0, restarted), 0U);
}

TEST(EndpointRestEndTest, CallersAreToldWhenTheFirstEndpointIsBack) {
  RestWorld resting({.name = "told", .resting = kEndpoints, .seconds = {1}});
  resting.BeginRefusals();
  resting.Run(common::milliseconds(200));
  const CallerAnswer answer = resting.world().Ask({.id = "0-told"});
  ASSERT_EQ(answer.status, 503);
  const double seconds = std::stod(*answer.headers.Find("Retry-After"));
  EXPECT_GT(seconds, 0.3);
  EXPECT_LT(seconds, 2);
}

}  // namespace
}  // namespace wagtailshore::hosted_world
