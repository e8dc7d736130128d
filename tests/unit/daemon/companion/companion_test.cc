#include "daemon/companion/companion.h"

#include <gtest/gtest.h>

#include "common/strings.h"
#include "coordination/store_era/store_era.h"
#include "support/hosted_world.h"

namespace wagtailshore::companion {
namespace {

using hosted_world::FakeEndpoint;
using hosted_world::FakeStore;
using hosted_world::Received;
using hosted_world::Reply;
using map_coordinator::GroupMap;
using map_coordinator::RankOrder;

Reply Accepted() {
  return {.bytes = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"};
}

constexpr common::Duration kRunLimit = common::seconds(10);
constexpr common::Duration kCallTimeout = common::seconds(20);
// One attempt with a long timeout, so that a slow machine causes no retries.
constexpr CompanionOptions kSingleAttempt = {.order_timeout = kCallTimeout,
                                             .order_tries = 1};

// The state of an engine whose group is open.
constexpr const char* kReport =
    R"({"group": {"name": "g", "epoch": 1, "rank": 0, "state": "open"},
        "size": 2, "step": 7, "map": 0})";

// One companion with a fake engine and a fake store on one event loop.
class CompanionTest : public testing::Test {
 protected:
  CompanionTest()
      : store_(loop_),
        engine_(loop_,
                [this](const Received& received) {
                  if (received.head.target == "/report" && open_) {
                    return hosted_world::Plain(received, 200, kReport);
                  }
                  if (received.head.target != "/order") {
                    return Reply{};
                  }
                  ++orders_;
                  return orders_ <= unanswered_ ? Reply{} : Accepted();
                }),
        pool_(loop_, {}),
        caller_(loop_, pool_) {}

  void Start(const CompanionOptions& options) {
    companion_ = std::make_unique<Companion>(
        loop_,
        serving::HostedSettings{.name = "c",
                                .failure_domain = "a",
                                .ip = "127.0.0.1",
                                .store_address = store_.address(),
                                .engine_address = engine_.address(),
                                .engine_service = "s"},
        options);
    ASSERT_TRUE(companion_->Start().ok());
  }

  // Sends an order as a coordinator does and returns the outcome's name from
  // the response body.
  std::string SendOrder(const RankOrder& order,
                        const std::string& encoded_map) {
    return Call(companion_messages::kOrderPath,
                companion_messages::EncodeOrder(order, encoded_map));
  }

  // Returns the response body, whatever the status, or the error as text.
  std::string Call(std::string_view path, const std::string& body) {
    std::string answer;
    caller_.Start(common::StrCat("127.0.0.1:", companion_->peer_port()),
                  {.method = "POST", .target = std::string(path), .body = body},
                  kCallTimeout, [&](const http_channel::CallResult& result) {
                    answer =
                        result.ok() ? result->body : result.status().ToString();
                    loop_.Stop();
                  });
    loop_.Run();
    return answer;
  }

  event_loop::EventLoop loop_;
  FakeStore store_;
  // Writes a configuration with experts and the claim of the companion at
  // `peer`.
  void SetClaim(const std::string& peer, uint64_t generation) {
    store_.SetConfiguration(
        {{"version", 1},
         {"services",
          {{{"name", "s"}, {"engine", {{"sets", 1}, {"experts", 4}}}}}}});
    store_.SetRow("coordinators", "s/g",
                  companion_messages::EncodeCoordinator(
                      {.generation = generation, .peer_address = peer}));
  }
  uint64_t ClaimedGeneration() const {
    const auto claim = companion_messages::DecodeCoordinator(
        store_.ValueOf("coordinators", "s/g"));
    return claim.ok() ? claim->generation : 0;
  }
  // Runs the event loop until the condition holds; false after `limit`.
  bool RunUntil(const std::function<bool()>& condition,
                common::Duration limit) {
    const common::Time end = loop_.Now() + limit;
    while (!condition() && loop_.Now() < end) {
      loop_.RunAfter(common::milliseconds(5), [this] { loop_.Stop(); });
      loop_.Run();
    }
    return condition();
  }

  // Whether the engine's group is open; otherwise the engine does not answer.
  bool open_ = false;
  // Number of first orders that the engine does not answer.
  int unanswered_ = 0;
  // Orders that the engine received so far.
  int orders_ = 0;
  FakeEndpoint engine_;
  http_channel::EndpointPool pool_;
  http_channel::HttpCaller caller_;
  std::unique_ptr<Companion> companion_;
};

TEST_F(CompanionTest, OrderIsPassedOnOnce) {
  Start(kSingleAttempt);
  EXPECT_EQ(
      SendOrder({.generation = 1, .body = map_coordinator::HoldStep{3}}, {}),
      "accepted");
  EXPECT_EQ(orders_, 1);
}

// Guards against losing an order when the engine does not answer the first
// attempts.
TEST_F(CompanionTest, OrderWithoutAnAnswerIsGivenAgain) {
  Start({.order_timeout = common::milliseconds(40), .order_tries = 100});
  unanswered_ = 2;
  EXPECT_EQ(
      SendOrder({.generation = 1, .body = map_coordinator::HoldStep{3}}, {}),
      "accepted");
  EXPECT_GE(orders_, 3);
}

TEST_F(CompanionTest, SilentEngineMakesTheOutcomeUnknown) {
  Start({.order_timeout = common::milliseconds(40), .order_tries = 3});
  unanswered_ = 100;
  EXPECT_EQ(
      SendOrder({.generation = 1, .body = map_coordinator::HoldStep{3}}, {}),
      "unknown");
  EXPECT_EQ(orders_, 3);
}

TEST_F(CompanionTest, EarlierCoordinatorIsFenced) {
  Start(kSingleAttempt);
  SendOrder({.generation = 2, .body = map_coordinator::HoldStep{3}}, {});
  EXPECT_EQ(
      SendOrder({.generation = 1, .body = map_coordinator::HoldStep{3}}, {}),
      "fenced");
  EXPECT_EQ(orders_, 1);
}

// A companion that lacks the base map refuses an order that carries changes, so
// that the coordinator sends the complete map. It accepts changes of that map
// afterwards.
TEST_F(CompanionTest, ChangesNeedAMapThatIsKnown) {
  Start(kSingleAttempt);
  const GroupMap first = {{{0, 1}, {2, 3}}};
  const auto second =
      std::make_shared<const GroupMap>(GroupMap{{{0, 3}, {1, 2}}});
  const RankOrder prepare{
      .generation = 1,
      .body = map_coordinator::PrepareMap{.version = 8, .map = second}};
  const std::string changes =
      companion_messages::EncodeMapChanges(7, first, *second);
  EXPECT_EQ(SendOrder(prepare, changes), "refused");
  EXPECT_EQ(orders_, 0);
  EXPECT_EQ(SendOrder({.generation = 1,
                       .body =
                           map_coordinator::PrepareMap{
                               .version = 7,
                               .map = std::make_shared<const GroupMap>(first)}},
                      companion_messages::EncodeMap(first)),
            "accepted");
  EXPECT_EQ(SendOrder(prepare, changes), "accepted");
  ASSERT_FALSE(engine_.received().empty());
  EXPECT_NE(engine_.received().back().body.find("[[[0,3],[1,2]]]"),
            std::string::npos);
}

// Guards against a companion that no coordinator can find any more, as the
// store has lost its entry. It does not read the store itself, so the
// coordinator's poll tells it.
TEST_F(CompanionTest, EntryThatTheStoreLostIsWrittenAgain) {
  Start(kSingleAttempt);
  store_.TakeCopy();
  const auto registered = [this] { return store_.rows("companions") == 1; };
  ASSERT_TRUE(RunUntil(registered, kRunLimit));
  for (int i = 0; i < 2; ++i) {
    store_.RestoreCopy();
    ASSERT_FALSE(registered());
    Call(companion_messages::kPollPath,
         companion_messages::EncodePoll(
             {.generation = 1, .store_era = store_.era()}));
    EXPECT_TRUE(RunUntil(registered, kRunLimit));
  }
}

// Companions find each other by "IP:port"; these tests bind any port.
constexpr const char* kOwnAddress = "127.0.0.1:0";
// Others wait this long for a coordinator that does not call.
constexpr common::Duration kOthersWait = common::milliseconds(1200);

// Guards against a group that serves with its first map for as long as others
// wait for a coordinator, after a restart of all processes.
TEST_F(CompanionTest, SuccessorOfTheCoordinatorTakesOverAtOnce) {
  open_ = true;
  SetClaim(kOwnAddress, 4);
  Start(kSingleAttempt);
  EXPECT_TRUE(RunUntil([this] { return ClaimedGeneration() > 4; },
                       kOthersWait - common::milliseconds(200)));
}

TEST_F(CompanionTest, OthersWaitForTheCoordinator) {
  open_ = true;
  SetClaim("127.0.0.1:9", 4);
  Start(kSingleAttempt);
  EXPECT_FALSE(RunUntil([this] { return ClaimedGeneration() != 4; },
                        kOthersWait - common::milliseconds(100)));
  EXPECT_TRUE(RunUntil([this] { return ClaimedGeneration() > 4; }, kRunLimit));
}

// Guards against two coordinators with one number: the store loses a claim, and
// the number would be given again.
TEST_F(CompanionTest, ClaimThatTheStoreLostIsWrittenAgain) {
  open_ = true;
  SetClaim(kOwnAddress, 4);
  store_.TakeCopy();
  Start(kSingleAttempt);
  ASSERT_TRUE(RunUntil([this] { return ClaimedGeneration() > 4; }, kRunLimit));
  const uint64_t claimed = ClaimedGeneration();
  store_.RestoreCopy();
  ASSERT_EQ(ClaimedGeneration(), 4U);
  EXPECT_TRUE(
      RunUntil([&] { return ClaimedGeneration() == claimed; }, kRunLimit));
  // The next one to claim in the new era gets a higher number.
  EXPECT_GT(store_era::FirstNumberOf(store_.era()), claimed);
}

// A companion returns the slow engines from the coordinator's last poll to
// gateways.
TEST_F(CompanionTest, SlowEnginesArePassedOn) {
  Start(kSingleAttempt);
  const std::vector<std::string> slow = {"10.0.0.7:80"};
  Call(companion_messages::kPollPath,
       companion_messages::EncodePoll({.generation = 1, .slow_engines = slow}));
  const auto reported = companion_messages::DecodeSlowEngines(
      Call(companion_messages::kSlowEnginesPath, {}));
  ASSERT_TRUE(reported.ok()) << reported.status().message();
  EXPECT_EQ(*reported, slow);
}

}  // namespace
}  // namespace wagtailshore::companion
