#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "common/strings.h"
#include "protocol/http1/serialize.h"
#include "support/hosted_world.h"

namespace wagtailshore::hosted_world {
namespace {

// After the fifth crash the system has this long to stop the part, and may send
// requests with it this many times later on.
constexpr common::Duration kTimeToStop = common::seconds(3);
constexpr size_t kCrashesToStop = 5;
constexpr size_t kMaxLaterArrivals = 3;
// From twice the time to stop on, sound requests are served at least half as
// often as without the part.
constexpr double kMinServedShare = 0.5;
// Least time over which that is measured; longer than a round.
constexpr common::Duration kMeasuredTime = common::seconds(2);
constexpr common::Duration kDownTime = common::milliseconds(600);
constexpr common::Duration kRoundInterval = common::milliseconds(100);
// A prompt is read this long before its answer begins.
constexpr common::Duration kPrefillTime = common::milliseconds(40);
constexpr int kSoundPerRound = 4;
constexpr int kSoundParts = 20;

// What an endpoint has sent when the part crashes it.
enum class CrashPoint { kBeforeHead, kAfterHead, kAfterFirstEvent };

struct PartCase {
  const char* name;
  int gateways = 4;
  // Shared parts of the requests that crash endpoints; each of the lists ends
  // with the part that does. The first part is that of sound requests too.
  std::vector<std::vector<std::string>> crashing = {{"f0", "bad0"}};
  const char* path = "/stream/x";
  CrashPoint crash_point = CrashPoint::kAfterHead;
  EndpointEnd end = EndpointEnd::kCrash;
  // Endpoints refuse everything while one of them is down.
  bool lockstep = false;
  // How long sound requests are served before the others come.
  common::Duration calm = common::milliseconds(300);
  // Gateway 0 is replaced this long after each of the first crashes.
  int gateway_restarts = 0;
};

std::string Joined(const std::vector<std::string>& parts) {
  std::string text;
  for (const std::string& part : parts) {
    common::StrAppend(&text, part, ":100,");
  }
  return text;
}

// Endpoints that crash when they begin to answer a prompt with a bad part.
class PartWorld {
 public:
  explicit PartWorld(const PartCase& param)
      : param_(param), world_({.endpoints = 6, .gateways = param.gateways}) {
    for (int i = 0; i < 6; ++i) {
      world_.endpoint(i).set_script(
          [this, i](const Received& request) { return Serve(i, request); });
    }
  }

  // Sends sound requests, and crashing ones when told to, in rounds.
  void Run(common::Duration duration, bool with_crashing) {
    const common::Time end = Now() + duration;
    while (Now() < end) {
      const common::Time next = Now() + kRoundInterval;
      std::vector<CallerRequestOptions> requests;
      requests.reserve(kSoundPerRound + 1);
      for (int i = 0; i < kSoundPerRound; ++i) {
        requests.push_back(
            Request({FirstPart(i % crashing_lists()),
                     common::StrCat("50", sound_++ % kSoundParts)}));
      }
      if (with_crashing) {
        requests.push_back(Request(param_.crashing[bad_++ % crashing_lists()]));
      }
      const common::Time sent_at = Now();
      const std::vector<CallerAnswer> answers = world_.AskAll(requests);
      for (int i = 0; i < kSoundPerRound; ++i) {
        sound_answers_.push_back(
            {.sent_at = sent_at, .served = answers[i].status == 200});
      }
      if (restarts_ < param_.gateway_restarts &&
          crashes_.size() > static_cast<size_t>(restarts_)) {
        ++restarts_;
        world_.RestartGateway(0);
      }
      world_.RunUntilTime(next);
    }
  }

  common::Time Now() const { return world_.loop().Now(); }
  HostedWorld& world() { return world_; }
  const std::vector<common::Time>& crashes() const { return crashes_; }

  // Crashing requests that reached endpoints later than the time to stop after
  // the fifth crash, counted for each bad part.
  size_t LaterArrivals() const {
    if (crashes_.size() < kCrashesToStop) {
      return 0;
    }
    const common::Time limit = crashes_[kCrashesToStop - 1] + kTimeToStop;
    return std::count_if(arrivals_.begin(), arrivals_.end(),
                         [&](common::Time at) { return at > limit; });
  }

  // Share of the sound requests sent after `from` that were served.
  double ServedShare(common::Time from) const {
    int sent = 0;
    int served = 0;
    for (const SoundAnswer& answer : sound_answers_) {
      if (answer.sent_at >= from) {
        ++sent;
        served += answer.served ? 1 : 0;
      }
    }
    return sent == 0 ? 0 : static_cast<double>(served) / sent;
  }

 private:
  struct SoundAnswer {
    common::Time sent_at{};
    bool served = false;
  };

  int crashing_lists() const {
    return static_cast<int>(param_.crashing.size());
  }

  // The first part of the list's requests, unless it is the bad one.
  std::string FirstPart(int list) const {
    const std::vector<std::string>& parts = param_.crashing[list];
    return parts.size() == 1 ? "f0" : parts.front();
  }

  // No two requests are alike.
  CallerRequestOptions Request(const std::vector<std::string>& parts) {
    ++requests_;
    return {.path = param_.path,
            .id = common::StrCat("r", requests_),
            .key = requests_ % 2 == 0 ? "key" : "other",
            .time_left_ms = 1500,
            .body = common::StrCat("body ", requests_),
            .prompt_parts = common::StrCat(Joined(parts), "d", requests_, ":9"),
            .gateway = requests_ % param_.gateways};
  }

  Reply Serve(int index, const Received& request) {
    const std::string* parts =
        request.head.headers.Find("X-Wagtailshore-Prompt-Prefix");
    const bool crashing =
        parts != nullptr && parts->find("bad") != std::string::npos;
    if (crashing) {
      arrivals_.push_back(Now());
    }
    if (Now() < down_until_[index]) {
      return {};
    }
    if (param_.lockstep &&
        std::any_of(down_until_.begin(), down_until_.end(),
                    [&](common::Time until) { return Now() < until; })) {
      return {.bytes = HeadOf(request, 503,
                              "X-Wagtailshore-Not-Executed: 1\r\nAt-Server: "
                              "e\r\nContent-Length: 0\r\n") +
                       "\r\n"};
    }
    if (!crashing) {
      Reply reply = request.head.target.starts_with("/stream/")
                        ? Stream(request, 0, 4)
                        : Plain(request, 200, "ok");
      reply.delay = 2 * kPrefillTime;
      return reply;
    }
    world_.loop().RunAfter(kPrefillTime, [this, index] { Crash(index); });
    switch (param_.crash_point) {
      case CrashPoint::kBeforeHead:
        return {};
      case CrashPoint::kAfterHead:
        return {.bytes = StreamHead(request)};
      case CrashPoint::kAfterFirstEvent:
        return {.bytes = StreamHead(request) + Events(0, 0)};
    }
    return {};
  }

  static std::string StreamHead(const Received& request) {
    return HeadOf(request, 200, "Transfer-Encoding: chunked\r\n") + "\r\n";
  }

  void Crash(int index) {
    if (Now() < down_until_[index]) {
      return;
    }
    crashes_.push_back(Now());
    down_until_[index] = Now() + kDownTime;
    world_.EndEndpoint(index, kDownTime, param_.end);
  }

  PartCase param_;
  mutable HostedWorld world_;
  std::vector<common::Time> down_until_ = std::vector<common::Time>(6);
  std::vector<common::Time> crashes_;
  std::vector<common::Time> arrivals_;
  std::vector<SoundAnswer> sound_answers_;
  int requests_ = 0;
  int sound_ = 0;
  int bad_ = 0;
  int restarts_ = 0;
};

std::ostream& operator<<(std::ostream& out, const PartCase& param) {
  return out << param.name;
}

class CrashingPromptPartTest : public testing::TestWithParam<PartCase> {};

TEST_P(CrashingPromptPartTest,
       StopsReachingEndpointsAndSoundRequestsAreServed) {
  const PartCase& param = GetParam();
  PartWorld parts(param);
  parts.Run(param.calm, /*with_crashing=*/false);
  parts.Run(2 * kTimeToStop + 2 * kMeasuredTime, /*with_crashing=*/true);
  EXPECT_GE(parts.crashes().size(), 1U);
  EXPECT_LE(parts.LaterArrivals(), kMaxLaterArrivals);
  const common::Time last_counted =
      parts.crashes()[std::min(parts.crashes().size(), kCrashesToStop) - 1];
  const common::Time measured_from =
      std::min(last_counted + 2 * kTimeToStop, parts.Now() - kMeasuredTime);
  EXPECT_GE(parts.ServedShare(measured_from), kMinServedShare);
}

INSTANTIATE_TEST_SUITE_P(
    Parts,
    CrashingPromptPartTest,
    testing::Values(
        PartCase{.name = "OneGateway", .gateways = 1},
        PartCase{.name = "ManyGateways"},
        PartCase{.name = "NoOtherPart", .crashing = {{"bad0"}}},
        PartCase{.name = "TwoParts",
                 .crashing = {{"f0", "bad0"}, {"f1", "bad1"}}},
        PartCase{.name = "BesideAPartOfItsOwn",
                 .crashing = {{"f0", "e0", "bad0"}}},
        PartCase{.name = "AllPartsNew", .calm = {}},
        PartCase{.name = "Lockstep", .lockstep = true},
        PartCase{.name = "LockstepAllPartsNew", .lockstep = true, .calm = {}},
        PartCase{.name = "AfterFirstEvent",
                 .crash_point = CrashPoint::kAfterFirstEvent},
        PartCase{.name = "Call",
                 .path = "/safe/x",
                 .crash_point = CrashPoint::kBeforeHead},
        PartCase{.name = "OneAttempt",
                 .path = "/once/x",
                 .crash_point = CrashPoint::kBeforeHead},
        PartCase{.name = "Silent", .end = EndpointEnd::kSilence},
        PartCase{.name = "GatewayRestarts", .gateway_restarts = 3}),
    [](const auto& info) { return info.param.name; });

// A part of all prompts, in flight at all endpoints and never answered before.
TEST(InnocentPromptPartTest, FailureDomainsThatGoDownDoNotQuarantineIt) {
  constexpr int kRequests = 24;
  constexpr int kEndpoints = 8;
  HostedWorld world(HostedWorldOptions{
      .endpoints = kEndpoints, .gateways = 2, .failure_domains = 2});
  world.Script([](const Received&) { return Reply{}; });
  for (int domain = 0; domain < 2; ++domain) {
    world.loop().RunAfter(common::milliseconds(300 + 500 * domain),
                          [&, domain] {
                            for (int i = domain; i < kEndpoints; i += 2) {
                              world.EndEndpoint(i, kDownTime);
                            }
                          });
  }
  const auto requests = [](const char* prefix) {
    std::vector<CallerRequestOptions> all;
    all.reserve(kRequests);
    for (int i = 0; i < kRequests; ++i) {
      all.push_back({.path = "/once/x",
                     .id = common::StrCat(prefix, i),
                     .time_left_ms = 1500,
                     .body = common::StrCat(prefix, i),
                     .prompt_parts = common::StrCat("f0:9,d", i, ":9"),
                     .gateway = i % 2});
    }
    return all;
  };
  world.AskAll(requests("lost"));
  world.Script(
      [](const Received& request) { return Plain(request, 200, "ok"); });
  world.RunFor(kDownTime);
  // The first of them may be served one at a time.
  world.AskAll({requests("first").front(), requests("first").back()});
  world.RunFor(kDownTime);
  for (const CallerAnswer& answer : world.AskAll(requests("later"))) {
    EXPECT_EQ(answer.status, 200);
  }
}

}  // namespace
}  // namespace wagtailshore::hosted_world
