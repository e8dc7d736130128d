#include "coordination/map_switch/participant.h"

#include <gtest/gtest.h>

#include "support/lockstep_engine.h"

// Sequences of events that the randomised test reaches too rarely.
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

  // Carries out the orders of the process, one after another, and returns its
  // messages to peers.
  std::vector<Message> Run(Participant& process, Actions actions) {
    std::vector<Message> sent;
    while (!actions.empty()) {
      const Action action = actions.front();
      actions.erase(actions.begin());
      if (const auto* message = std::get_if<Message>(&action)) {
        sent.push_back(*message);
        continue;
      }
      const auto& order = std::get<Order>(action);
      const EngineState state = engine_.Apply(order);
      for (const Action& next : process.OnEngineState(order.id, state, now_)) {
        actions.push_back(next);
      }
    }
    return sent;
  }

  std::vector<Message> Deliver(Participant& process, const MessageBody& body) {
    return Run(process,
               process.OnMessage({.from = 1, .to = 0, .body = body}, now_));
  }

  void Apply(uint64_t fencing_number, const OrderBody& body) {
    engine_.Apply({.fencing_number = fencing_number, .body = body});
  }

  static Vote VoteOf(const std::vector<Message>& sent) {
    return std::get<VoteReply>(sent.at(0).body).vote;
  }

  standins::LockstepEngine engine_{/*checks_fencing=*/false};
  common::Time now_{};
};

TEST_F(ParticipantTest, AnswersNothingBeforeItReadItsEngine) {
  Participant process = MakeProcess(2);
  EXPECT_TRUE(process.OnMessage({.body = VoteRequest{kBallot}}, now_).empty());
}

TEST_F(ParticipantTest, KeepsThePromiseOfTheProcessBefore) {
  Apply(1, TakeOver{});
  Apply(1, PlaceHold{.ballot = kBallot, .map = NextMap(), .step = kHoldStep});
  Participant process = MakeProcess(2);
  Run(process, process.Tick(now_));
  EXPECT_EQ(VoteOf(Deliver(process, VoteRequest{kBallot})), Vote::kAccepted);
}

// Guards against a late order that breaks a promise: a dead process refused the
// ballot, and its order arrives after its successor adopted the promise.
TEST_F(ParticipantTest, ALateRefusalOfTheProcessBeforeBreaksNoPromise) {
  Apply(1, TakeOver{});
  Apply(1, PlaceHold{.ballot = kBallot, .map = NextMap(), .step = kHoldStep});
  Participant process = MakeProcess(2);
  Run(process, process.Tick(now_));
  ASSERT_EQ(VoteOf(Deliver(process, VoteRequest{kBallot})), Vote::kAccepted);
  Apply(1, RefuseBelow{JustAbove(kBallot)});
  Participant next = MakeProcess(3);
  Run(next, next.Tick(now_));
  EXPECT_EQ(VoteOf(Deliver(next, VoteRequest{kBallot})), Vote::kAccepted);
}

// The hold must carry this process's fencing number before the promise is
// reported to a peer. Otherwise the late refusal in the test above breaks it.
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
       process.OnMessage({.from = 1, .body = VoteRequest{kBallot}}, now_)) {
    EXPECT_FALSE(std::holds_alternative<Message>(action));
  }
}

// A refusal by an earlier process does not stop this process's own promise,
// which may still be in flight to the engine.
TEST_F(ParticipantTest, RefusesInItsOwnNameOnly) {
  Apply(1, TakeOver{});
  Apply(1, RefuseBelow{JustAbove(kBallot)});
  Participant process = MakeProcess(2);
  Run(process, process.Tick(now_));
  EXPECT_TRUE(Deliver(process, VoteRequest{kBallot}).empty());
  EXPECT_EQ(engine_.state().refused_below.at(2), JustAbove(kBallot));
  EXPECT_EQ(VoteOf(Deliver(process, VoteRequest{kBallot})), Vote::kRefused);
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

// A promise to hold cannot be made once its step has begun.
TEST_F(ParticipantTest, RefusesAHoldThatComesTooLate) {
  Participant process = MakeProcess(1);
  Run(process, process.Tick(now_));
  Deliver(process, Prepare{.ballot = kBallot, .map = NextMap()});
  engine_.EndLoads(true);
  for (uint64_t step = 0; step <= kHoldStep; ++step) {
    engine_.StartStep();
  }
  now_ += common::seconds(1);
  Run(process, process.Tick(now_));
  const HoldRequest request{
      .ballot = kBallot, .map = NextMap(), .step = kHoldStep};
  Deliver(process, request);
  EXPECT_EQ(VoteOf(Deliver(process, request)), Vote::kRefused);
  EXPECT_TRUE(engine_.state().holds.empty());
}

}  // namespace
}  // namespace wagtailshore::map_switch
