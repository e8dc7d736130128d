#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "common/strings.h"
#include "support/hosted_world.h"

namespace wagtailshore::hosted_world {
namespace {

// From this long after a limit was first named, an endpoint may get in each
// window one and a half times what its limit allows, and some requests more.
constexpr common::Duration kTimeToAdapt = common::seconds(3);
constexpr common::Duration kWindow = common::seconds(4);
constexpr double kMaxFactor = 1.5;
constexpr double kMaxExcess = 5;
// Least part of the limits that is used when there are more requests.
constexpr double kMinUse = 0.5;
constexpr common::Duration kRoundInterval = common::milliseconds(50);
constexpr int kEndpoints = 3;

struct LimitCase {
  const char* name;
  int gateways = 6;
  int limited = 1;
  double limit = 2.4;
  // Requests in a round, and how many of them go to the first gateway. The
  // others get theirs in turn.
  int per_round = 4;
  int to_first = 0;
  const char* path = "/safe/x";
  bool restart_gateways = false;
  bool add_gateways = false;
  bool store_down = false;
  // Factor by which the limit changes with each answer.
  double variation = 1;
  // An endpoint that names a limit reports that all of its slots are taken, so
  // that the others are preferred.
  bool reports_load = false;
};

std::ostream& operator<<(std::ostream& out, const LimitCase& param) {
  return out << param.name;
}

class LimitWorld {
 public:
  explicit LimitWorld(const LimitCase& param)
      : param_(param),
        gateways_(param.gateways),
        world_({.endpoints = kEndpoints,
                .gateways = param.gateways,
                // Keys are trusted through an outage of the store.
                .revocation_bound = common::seconds(60),
                .retry_window = common::seconds(1)}) {
    for (int i = 0; i < kEndpoints; ++i) {
      world_.endpoint(i).set_script(
          [this, i](const Received& request) { return Serve(i, request); });
    }
  }

  common::Time Now() const { return world_.loop().Now(); }
  HostedWorld& world() { return world_; }
  void SetLimit(std::optional<double> limit) { limit_ = limit; }
  int gateways() const { return gateways_; }
  void AddGateway() {
    world_.AddGateway();
    ++gateways_;
  }

  void Run(common::Duration duration) {
    const common::Time end = Now() + duration;
    while (Now() < end) {
      const common::Time next = Now() + kRoundInterval;
      std::vector<CallerRequestOptions> requests;
      requests.reserve(param_.per_round);
      for (int i = 0; i < param_.per_round; ++i) {
        requests.push_back(
            {.path = param_.path,
             .id = common::StrCat("r", ++requests_),
             .body = common::StrCat("body ", requests_),
             .gateway = i < param_.to_first ? 0 : turn_++ % gateways_});
      }
      for (const CallerAnswer& answer : world_.AskAll(requests)) {
        unexpected_ += answer.status == 200 || answer.status == 503 ? 0 : 1;
      }
      world_.RunUntilTime(next);
    }
  }

  // Most requests that a limited endpoint got in a window since `from`.
  size_t MostArrivals(common::Time from) const {
    size_t most = 0;
    for (int i = 0; i < param_.limited; ++i) {
      const std::vector<common::Time>& arrivals = arrivals_[i];
      for (auto first =
               std::lower_bound(arrivals.begin(), arrivals.end(), from);
           first != arrivals.end(); ++first) {
        const auto end =
            std::upper_bound(first, arrivals.end(), *first + kWindow);
        most = std::max<size_t>(most, end - first);
      }
    }
    return most;
  }

  // Requests that an endpoint got from `from` to `to`.
  size_t Arrivals(int endpoint, common::Time from, common::Time to) const {
    return std::count_if(
        arrivals_[endpoint].begin(), arrivals_[endpoint].end(),
        [&](common::Time at) { return at >= from && at < to; });
  }

  int unexpected() const { return unexpected_; }

 private:
  Reply Serve(int index, const Received& request) {
    arrivals_[index].push_back(Now());
    std::string extra;
    if (index < param_.limited && limit_.has_value()) {
      const double factor = ++answers_ % 2 == 0 ? param_.variation : 1;
      extra = common::StrCat("Server-Limit: ", *limit_ * factor, "\r\n");
      if (param_.reports_load) {
        extra += "X-Wagtailshore-Server-Load: 4,8,4\r\n";
      }
    } else if (param_.reports_load) {
      extra = "X-Wagtailshore-Server-Load: 0,0,4\r\n";
    }
    if (request.head.target.starts_with("/stream/")) {
      return {
          .bytes = common::StrCat(
              HeadOf(request, 200, extra + "Transfer-Encoding: chunked\r\n"),
              "\r\n", Events(0, 2), "0\r\n\r\n")};
    }
    return {
        .bytes = common::StrCat(
            HeadOf(request, 200, extra + "Content-Length: 2\r\n"), "\r\nok")};
  }

  LimitCase param_;
  int gateways_;
  mutable HostedWorld world_;
  std::vector<std::vector<common::Time>> arrivals_ =
      std::vector<std::vector<common::Time>>(kEndpoints);
  std::optional<double> limit_;
  int answers_ = 0;
  int requests_ = 0;
  int turn_ = 0;
  int unexpected_ = 0;
};

class EndpointLimitTest : public testing::TestWithParam<LimitCase> {};

TEST_P(EndpointLimitTest, AllGatewaysTogetherKeepToIt) {
  const LimitCase& param = GetParam();
  LimitWorld limited(param);
  // Until the gateways know of each other.
  limited.Run(common::seconds(2));
  limited.SetLimit(param.limit);
  limited.Run(kTimeToAdapt);
  const common::Time from = limited.Now();
  if (param.store_down) {
    limited.world().store().set_down(true);
  }
  for (int i = 0; i < 3; ++i) {
    limited.Run(common::seconds(2));
    if (param.restart_gateways) {
      limited.world().RestartGateway(i);
    }
    if (param.add_gateways) {
      limited.AddGateway();
    }
  }
  limited.Run(common::seconds(2));
  const double highest = param.limit * std::max(param.variation, 1.0);
  const double seconds = std::chrono::duration<double>(kWindow).count();
  EXPECT_LE(static_cast<double>(limited.MostArrivals(from)),
            kMaxFactor * highest * seconds + kMaxExcess);
  const double lasted =
      std::chrono::duration<double>(limited.Now() - from).count();
  const double lowest = param.limit * std::min(param.variation, 1.0);
  for (int i = 0; i < param.limited; ++i) {
    EXPECT_GE(static_cast<double>(limited.Arrivals(i, from, limited.Now())),
              kMinUse * lowest * lasted);
  }
  EXPECT_EQ(limited.unexpected(), 0);
}

INSTANTIATE_TEST_SUITE_P(
    Limits,
    EndpointLimitTest,
    testing::Values(
        LimitCase{.name = "OneGateway", .gateways = 1},
        LimitCase{.name = "SixGateways"},
        LimitCase{.name = "ManyGateways", .gateways = 24},
        LimitCase{.name = "Streams", .path = "/stream/x"},
        LimitCase{.name = "AllEndpoints", .limited = kEndpoints},
        LimitCase{.name = "HighLimit", .limit = 20, .per_round = 12},
        LimitCase{.name = "UnevenLoad",
                  .limited = kEndpoints,
                  .per_round = 5,
                  .to_first = 4},
        LimitCase{.name = "GatewayRestarts", .restart_gateways = true},
        LimitCase{.name = "GatewaysAdded", .add_gateways = true},
        LimitCase{.name = "StoreAway", .store_down = true},
        LimitCase{.name = "VaryingLimit", .variation = 0.5}),
    [](const auto& info) { return info.param.name; });

class EndpointLimitEndTest : public testing::TestWithParam<LimitCase> {};

TEST_P(EndpointLimitEndTest, EndpointThatNamesNoLimitAnyMoreGetsItsShareAgain) {
  LimitWorld limited(GetParam());
  limited.Run(common::seconds(2));
  limited.SetLimit(1);
  limited.Run(kTimeToAdapt);
  const common::Time limited_from = limited.Now();
  limited.Run(kWindow);
  limited.SetLimit(std::nullopt);
  const common::Time ended_at = limited.Now();
  EXPECT_LE(limited.Arrivals(0, limited_from, ended_at), 11U);
  // A gateway asks at intervals of their number / the limit.
  limited.Run(common::seconds(8));
  const common::Time from = limited.Now();
  limited.Run(common::seconds(2));
  EXPECT_GE(limited.Arrivals(0, from, limited.Now()), 30U);
}

INSTANTIATE_TEST_SUITE_P(Limits,
                         EndpointLimitEndTest,
                         testing::Values(LimitCase{.name = "Preferred"},
                                         LimitCase{.name = "OthersPreferred",
                                                   .reports_load = true}),
                         [](const auto& info) { return info.param.name; });

TEST(EndpointLimitRefusalTest, RefusalThatNamesNoLimitDoesNotEndIt) {
  HostedWorld world(
      HostedWorldOptions{.retry_window = common::milliseconds(200)});
  world.RunFor(common::milliseconds(500));
  world.Script([](const Received& request) {
    return Reply{
        .bytes = common::StrCat(
            HeadOf(request, 200, "Server-Limit: 1\r\nContent-Length: 2\r\n"),
            "\r\nok")};
  });
  EXPECT_EQ(world.Ask({.id = "named"}).status, 200);
  world.Script(Refusal);
  int asked = 0;
  world.RunUntil([&] {
    world.Ask({.id = common::StrCat("refused", ++asked)});
    return world.arrivals() == 2;
  });
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(world.Ask({.id = common::StrCat("later", i)}).status, 503);
  }
  EXPECT_EQ(world.arrivals(), 2U);
}

TEST(EndpointLimitRefusalTest, RefusalAtLimitedEndpointsIsATrueOneWithATime) {
  LimitWorld limited({.name = "refusal", .limited = kEndpoints});
  limited.SetLimit(0);
  limited.Run(common::seconds(1));
  int refused = 0;
  for (int i = 0; i < 10; ++i) {
    const CallerAnswer answer =
        limited.world().Ask({.id = common::StrCat("x", i), .gateway = i % 6});
    if (answer.status == 503) {
      ++refused;
      EXPECT_NE(answer.headers.Find("Retry-After"), nullptr);
    }
  }
  EXPECT_GE(refused, 8);
}

}  // namespace
}  // namespace wagtailshore::hosted_world
