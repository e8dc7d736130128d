#include "coordination/exchange/exchange.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace wagtailshore::exchange {
namespace {

constexpr uint64_t kTokens = 12;
constexpr common::Time kStart{};
constexpr common::Duration kDeadline = common::seconds(60);

std::string TokenAt(uint64_t index) {
  return std::to_string(index) + ";";
}

std::string AnswerUpTo(uint64_t offset) {
  std::string text;
  for (uint64_t i = 0; i < offset; ++i) {
    text += TokenAt(i);
  }
  return text;
}

stream::Frame FrameAt(const stream::AttemptId& id, uint64_t offset) {
  return {.id = id,
          .offset = offset,
          .tokens = 1,
          .text = TokenAt(offset),
          .last = offset + 1 == kTokens};
}

// One exchange with endpoints and connections that fail at random, under a
// virtual clock: refusals, broken and silent connections, and lost, duplicate,
// reordered and foreign frames.
class FaultyNetwork {
 public:
  FaultyNetwork()
      : deadline_(kStart + common::seconds(*rc::gen::inRange(1, 60))),
        exchange_({.request = "mine", .deadline = deadline_}) {}

  // Runs the request to its final answer.
  void Run() {
    Action action = exchange_.Start(now_);
    while (true) {
      if (const auto* start = std::get_if<StartAttempt>(&action)) {
        action = Start(*start);
      } else if (const auto* read = std::get_if<ReadFrame>(&action)) {
        action = Read(*read);
      } else if (const auto* deliver = std::get_if<DeliverText>(&action)) {
        delivered_ += deliver->text;
        if (deliver->last) {
          complete_ = true;
          return;
        }
        action = exchange_.OnDelivered(now_);
      } else {
        refusal_ = std::get<GiveUp>(action).refusal;
        return;
      }
    }
  }

  void Check() const {
    const uint64_t offset = exchange_.assembler().next_offset();
    RC_ASSERT(delivered_ == AnswerUpTo(offset));
    RC_ASSERT(complete_ == (offset == kTokens));
    RC_ASSERT(complete_ != refusal_.has_value());
    if (refusal_.has_value()) {
      // kNotRun is correct, and the caller gets a retry time.
      RC_ASSERT(refusal_->ran != refusal::Ran::kNotRun || !may_have_run_);
      RC_ASSERT(refusal_->retry_after.has_value());
    }
    // The request ends by its deadline.
    RC_ASSERT(now_ <= deadline_);
  }

 private:
  Action Start(const StartAttempt& start) {
    RC_ASSERT(start.id.attempt == ++attempts_);
    RC_ASSERT(start.offset == exchange_.assembler().next_offset());
    constexpr int kEndpoints = 5;
    std::string endpoint;
    for (int i = 0; i < kEndpoints && endpoint.empty(); ++i) {
      const std::string name = "e" + std::to_string(i);
      if (!start.avoid.contains(name)) {
        endpoint = name;
      }
    }
    if (start.prefer.has_value()) {
      endpoint = *start.prefer;
    }
    if (endpoint.empty()) {
      return exchange_.OnNoEndpoint(now_);
    }
    PlanFrames(start);
    return exchange_.OnSent(endpoint, now_);
  }

  // Chooses the frames and the end of the new attempt's connection.
  void PlanFrames(const StartAttempt& start) {
    arriving_.clear();
    end_ = *rc::gen::element(AttemptEnd::kNotSent, AttemptEnd::kRefused,
                             AttemptEnd::kBusy, AttemptEnd::kBroken,
                             AttemptEnd::kTimedOut);
    if (end_ != AttemptEnd::kBroken && end_ != AttemptEnd::kTimedOut) {
      return;
    }
    may_have_run_ = true;
    const auto frames = *rc::gen::inRange<uint64_t>(0, kTokens);
    for (uint64_t i = 0; i < frames && start.offset + i < kTokens; ++i) {
      arriving_.push_back(FrameAt(start.id, start.offset + i));
    }
    InjectFrameFaults(start);
  }

  // Adds frames of earlier attempts and of other requests, duplicates and
  // reorders frames, and removes some.
  void InjectFrameFaults(const StartAttempt& start) {
    const int faults = *rc::gen::inRange(0, 4);
    for (int i = 0; i < faults; ++i) {
      const auto place = *rc::gen::inRange<size_t>(0, arriving_.size() + 1);
      const auto at = arriving_.begin() + static_cast<ptrdiff_t>(place);
      const auto offset = *rc::gen::inRange<uint64_t>(0, kTokens);
      switch (*rc::gen::inRange(0, 4)) {
        case 0:
          arriving_.insert(
              at, FrameAt({start.id.request, start.id.attempt - 1}, offset));
          break;
        case 1: {
          stream::Frame other =
              FrameAt({"other", start.id.attempt}, start.offset);
          other.text = "not mine";
          arriving_.insert(at, other);
          break;
        }
        case 2:
          arriving_.insert(at, FrameAt(start.id, offset));
          break;
        default:
          if (place < arriving_.size()) {
            arriving_.erase(at);
          }
          break;
      }
    }
  }

  Action Read(const ReadFrame& read) {
    RC_ASSERT(read.timeout > common::Duration::zero());
    if (!arriving_.empty()) {
      now_ += common::milliseconds(40);
      const stream::Frame frame = arriving_.front();
      arriving_.pop_front();
      return exchange_.OnFrame(frame, now_);
    }
    if (end_ == AttemptEnd::kTimedOut) {
      now_ += read.timeout;
    }
    return exchange_.OnAttemptEnd(end_, std::nullopt, now_);
  }

  common::Time deadline_;
  Exchange exchange_;
  common::Time now_ = kStart;
  uint32_t attempts_ = 0;
  std::deque<stream::Frame> arriving_;
  AttemptEnd end_ = AttemptEnd::kBroken;
  std::string delivered_;
  bool complete_ = false;
  bool may_have_run_ = false;
  std::optional<refusal::Refusal> refusal_;
};

RC_GTEST_PROP(ExchangeProperty, GivesTheWholeAnswerOrAnHonestRefusal, ()) {
  FaultyNetwork network;
  network.Run();
  network.Check();
}

TEST(ExchangeTest, ASilentStreamGoesOnAtTheSameEndpointFirst) {
  Exchange exchange({.request = "r", .deadline = kStart + kDeadline});
  const Action first = exchange.Start(kStart);
  const stream::AttemptId id = std::get<StartAttempt>(first).id;
  exchange.OnSent("e1", kStart);
  exchange.OnFrame(FrameAt(id, 0), kStart);
  exchange.OnDelivered(kStart);
  const Action second =
      exchange.OnAttemptEnd(AttemptEnd::kTimedOut, std::nullopt, kStart);
  const auto* start = std::get_if<StartAttempt>(&second);
  ASSERT_NE(start, nullptr);
  EXPECT_EQ(start->prefer, "e1");
  EXPECT_EQ(start->offset, 1u);
}

TEST(ExchangeTest, ARefusedRequestIsNotRunAndSaysWhenToComeBack) {
  Exchange exchange({.request = "r", .deadline = kStart + kDeadline});
  Action action = exchange.Start(kStart);
  for (int i = 0; std::holds_alternative<StartAttempt>(action); ++i) {
    exchange.OnSent("e" + std::to_string(i), kStart);
    action =
        exchange.OnAttemptEnd(AttemptEnd::kRefused, common::seconds(3), kStart);
  }
  const refusal::Refusal& refusal = std::get<GiveUp>(action).refusal;
  EXPECT_EQ(refusal.ran, refusal::Ran::kNotRun);
  EXPECT_EQ(refusal.retry_after, common::seconds(3));
}

}  // namespace
}  // namespace wagtailshore::exchange
