#include "coordination/map_switch/participant.h"

#include <gtest/gtest.h>

#include "support/lockstep_engine.h"

// The orders of events that the randomised run meets too seldom.
namespace wagtailshore::map_switch {
namespace {

constexpr Ballot kBallot{.round = 1, .rank = 1, .fencing_number = 1};
constexpr uint64_t kHoldStep = 10;

MapId NextMap() {
  return {.version = 1, .digest = "map"};
}

class ParticipantTest : public testing::Test {
 protected:
  static Participant MakeProcess(uint64_t fencing_number) {
    return Participant(
        {.rank = 0, .ranks = 2, .fencing_number = fencing_number});
  }

  // Carries out what the process orders, one order after another, and returns
  // what it tells its peers.
  std::vector<Message> Run(Participant& process, Actions actions) {
    std::vector<Message> told;
    while (!actions.empty()) {
      const Action action = actions.front();
      actions.erase(actions.begin());
      if (const auto* message = std::get_if<Message>(&action)) {
        told.push_back(*message);
        continue;
      }
      const auto& order = std::get<Order>(action);
      const EngineState state = engine_.Apply(order);
      for (const Action& next : process.OnEngineState(order.id, state, now_)) {
        actions.push_back(next);
      }
    }
    return told;
  }

  std::vector<Message> Tell(Participant& process, const MessageBody& body) {
    return Run(process,
               process.OnMessage({.from = 1, .to = 0, .body = body}, now_));
  }

  void Apply(uint64_t fencing_number, const OrderBody& body) {
    engine_.Apply({.fencing_number = fencing_number, .body = body});
  }

  static Vote VoteOf(const std::vector<Message>& told) {
    return std::get<VoteReply>(told.at(0).body).vote;
  }

  standins::LockstepEngine engine_{/*checks_fencing=*/false};
  common::Time now_{};
};

TEST_F(ParticipantTest, AnswersNothingBeforeItReadItsEngine) {
  Participant process = MakeProcess(2);
  EXPECT_TRUE(process.OnMessage({.body = Ask{kBallot}}, now_).empty());
}

TEST_F(ParticipantTest, KeepsThePromiseOfTheProcessBefore) {
  Apply(1, TakeOver{});
  Apply(1, PlaceHold{.ballot = kBallot, .map = NextMap(), .step = kHoldStep});
  Participant process = MakeProcess(2);
  Run(process, process.Tick(now_));
  EXPECT_EQ(VoteOf(Tell(process, Ask{kBallot})), Vote::kAccepted);
}

// The dead process refused the ballot, and its order arrives after the next
// process took the promise for its own.
TEST_F(ParticipantTest, ALateRefusalOfTheProcessBeforeBreaksNoPromise) {
  Apply(1, TakeOver{});
  Apply(1, PlaceHold{.ballot = kBallot, .map = NextMap(), .step = kHoldStep});
  Participant process = MakeProcess(2);
  Run(process, process.Tick(now_));
  ASSERT_EQ(VoteOf(Tell(process, Ask{kBallot})), Vote::kAccepted);
  Apply(1, CloseBelow{JustAbove(kBallot)});
  Participant next = MakeProcess(3);
  Run(next, next.Tick(now_));
  EXPECT_EQ(VoteOf(Tell(next, Ask{kBallot})), Vote::kAccepted);
}

// The promise must carry this process's number before it is told on, or the
// refusal above would break it.
TEST_F(ParticipantTest, TellsNoPromiseBeforeItIsItsOwn) {
  Apply(1, TakeOver{});
  Apply(1, PlaceHold{.ballot = kBallot, .map = NextMap(), .step = kHoldStep});
  Participant process = MakeProcess(2);
  Actions actions = process.Tick(now_);
  while (!process.ready()) {
    const auto& order = std::get<Order>(actions.at(0));
    actions = process.OnEngineState(order.id, engine_.Apply(order), now_);
  }
  for (const Action& action :
       process.OnMessage({.from = 1, .body = Ask{kBallot}}, now_)) {
    EXPECT_FALSE(std::holds_alternative<Message>(action));
  }
}

// A refusal of an earlier process does not stop this one's own promise, which
// may still be on its way to the engine.
TEST_F(ParticipantTest, RefusesInItsOwnNameOnly) {
  Apply(1, TakeOver{});
  Apply(1, CloseBelow{JustAbove(kBallot)});
  Participant process = MakeProcess(2);
  Run(process, process.Tick(now_));
  EXPECT_TRUE(Tell(process, Ask{kBallot}).empty());
  EXPECT_EQ(engine_.state().closed_below.at(2), JustAbove(kBallot));
  EXPECT_EQ(VoteOf(Tell(process, Ask{kBallot})), Vote::kRefused);
}

TEST_F(ParticipantTest, ALaterProcessEndsItsOrders) {
  Participant process = MakeProcess(2);
  Run(process, process.Tick(now_));
  Apply(3, TakeOver{});
  now_ += common::seconds(1);
  Run(process, process.Tick(now_));
  EXPECT_TRUE(process.superseded());
  EXPECT_TRUE(process.Tick(now_).empty());
}

// A promise can't be given once its step has begun.
TEST_F(ParticipantTest, RefusesAHoldThatComesTooLate) {
  Participant process = MakeProcess(1);
  Run(process, process.Tick(now_));
  Tell(process, Prepare{.ballot = kBallot, .map = NextMap()});
  engine_.EndLoads(true);
  for (uint64_t step = 0; step <= kHoldStep; ++step) {
    engine_.StartStep();
  }
  now_ += common::seconds(1);
  Run(process, process.Tick(now_));
  const HoldRequest request{
      .ballot = kBallot, .map = NextMap(), .step = kHoldStep};
  Tell(process, request);
  EXPECT_EQ(VoteOf(Tell(process, request)), Vote::kRefused);
  EXPECT_TRUE(engine_.state().holds.empty());
}

}  // namespace
}  // namespace wagtailshore::map_switch
