#include "transport/http_channel/http_call.h"

#include <gtest/gtest.h>

#include <functional>
#include <optional>
#include <set>
#include <vector>

#include "common/strings.h"
#include "soak/tcp_proxy.h"
#include "transport/http_channel/channel_server.h"

namespace wagtailshore::http_channel {
namespace {

using soak::LinkFault;

constexpr common::Duration kTimeout = common::milliseconds(900);
constexpr common::Duration kPollWait = common::milliseconds(3000);
const Call kGet = {.method = "GET", .target = "/get"};
const Call kPost = {.method = "POST", .target = "/post", .body = "x"};
const Call kPoll = {.method = "GET", .target = "/poll", .wait = kPollWait};

// Answers at once, except polls, which it never answers.
class Server final : public RequestHandler {
 public:
  explicit Server(event_loop::EventLoop& loop)
      : loop_(loop), limiter_(loop, {}), server_(loop, *this, limiter_) {
    EXPECT_TRUE(server_.Listen("127.0.0.1:0").ok());
  }

  std::string address() const {
    return common::StrCat("127.0.0.1:", server_.port());
  }
  void set_delay(common::Duration delay) { delay_ = delay; }
  // Answers nothing while set, nor later.
  void set_silent(bool silent) { silent_ = silent; }
  int requests() const { return requests_; }

  void OnRequest(CallerChannel& channel,
                 const http1::RequestHead& head,
                 std::string) override {
    ++requests_;
    if (silent_ || head.target == kPoll.target) {
      return;
    }
    if (delay_ == common::Duration::zero()) {
      channel.Respond(200, {}, "ok");
      return;
    }
    loop_.RunAfter(delay_, [&channel] { channel.Respond(200, {}, "ok"); });
  }
  void OnCallerGone(CallerChannel&) override {}

 private:
  event_loop::EventLoop& loop_;
  ChannelLimiter limiter_;
  ChannelServer server_;
  common::Duration delay_{};
  bool silent_ = false;
  int requests_ = 0;
};

// A call and how it ended.
struct Outcome {
  std::optional<CallResult> result;
  common::Time ended_at{};
};

class HttpCallTest : public testing::Test {
 protected:
  HttpCallTest()
      : server_(loop_),
        link_(loop_, server_.address()),
        pool_(loop_, {}),
        caller_(loop_, pool_) {}

  Outcome& Start(const Call& call, common::Duration timeout = kTimeout) {
    Outcome& outcome =
        *outcomes_.emplace_back(std::make_unique<Outcome>()).get();
    caller_.Start(link_.address(), call, timeout,
                  [this, &outcome](const CallResult& result) {
                    outcome.result = result;
                    outcome.ended_at = loop_.Now();
                  });
    return outcome;
  }
  void RunFor(common::Duration duration) {
    loop_.RunAfter(duration, [this] { loop_.Stop(); });
    loop_.Run();
  }
  // Opens `count` connections and leaves them idle.
  void OpenConnections(int count) {
    std::vector<const Outcome*> calls;
    calls.reserve(count);
    for (int i = 0; i < count; ++i) {
      calls.push_back(&Start(kGet));
    }
    RunFor(common::milliseconds(50));
    for (const Outcome* call : calls) {
      ASSERT_TRUE(call->result.has_value() && call->result->ok());
    }
  }

  event_loop::EventLoop loop_;
  Server server_;
  soak::TcpProxy link_;
  EndpointPool pool_;
  HttpCaller caller_;
  std::vector<std::unique_ptr<Outcome>> outcomes_;
};

// How open connections to the server are lost.
struct LossCase {
  const char* name;
  LinkFault fault;
  common::Duration answered_within;
};

class LostConnectionTest : public HttpCallTest,
                           public testing::WithParamInterface<LossCase> {};

// Guards against taking lost connections for a server that does not answer, and
// against meeting them one after the other.
TEST_P(LostConnectionTest, ReadIsRepeatedOnceOnANewConnection) {
  OpenConnections(3);
  const common::Time lost_at = loop_.Now();
  link_.SetFault(GetParam().fault);
  link_.SetFault(LinkFault::kNone);
  Outcome& call = Start(kGet);
  RunFor(common::seconds(1));
  ASSERT_TRUE(call.result.has_value());
  EXPECT_TRUE(call.result->ok()) << call.result->status();
  EXPECT_LT(call.ended_at, lost_at + GetParam().answered_within);
  // The other connections are not tried.
  const common::Time asked_at = loop_.Now();
  Outcome& next = Start(kGet);
  RunFor(common::milliseconds(300));
  ASSERT_TRUE(next.result.has_value() && next.result->ok());
  EXPECT_LT(next.ended_at, asked_at + common::milliseconds(100));
}

INSTANTIATE_TEST_SUITE_P(
    Losses,
    LostConnectionTest,
    testing::Values(
        LossCase{"Silent", LinkFault::kSilenceOpen, common::milliseconds(600)},
        LossCase{"Reset", LinkFault::kReset, common::milliseconds(200)}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against a long poll that waits for its whole time on a connection that
// is known to be silent.
TEST_F(HttpCallTest, SilentLongPollEndsOnceAnotherCallFindsTheSilence) {
  Outcome& poll = Start(kPoll, kPollWait + kTimeout);
  OpenConnections(1);
  link_.SetFault(LinkFault::kSilenceOpen);
  Outcome& call = Start(kGet);
  RunFor(common::milliseconds(800));
  EXPECT_TRUE(call.result.has_value() && call.result->ok());
  ASSERT_TRUE(poll.result.has_value());
  EXPECT_TRUE(absl::IsAborted(poll.result->status())) << poll.result->status();
}

// A call that the server may have executed is not sent again.
TEST_F(HttpCallTest, WriteOnASilentConnectionIsNotRepeated) {
  OpenConnections(2);
  link_.SetFault(LinkFault::kSilenceOpen);
  const int before = server_.requests();
  Outcome& call = Start(kPost);
  RunFor(kTimeout + common::milliseconds(200));
  ASSERT_TRUE(call.result.has_value());
  EXPECT_TRUE(absl::IsDeadlineExceeded(call.result->status()));
  EXPECT_EQ(server_.requests(), before);
  // It has shown that the other connection may be silent too.
  Outcome& next = Start(kPost);
  RunFor(common::milliseconds(100));
  EXPECT_TRUE(next.result.has_value() && next.result->ok());
}

// A server that is slow, but answers, gets each call once and keeps its
// connections.
TEST_F(HttpCallTest, SlowAnswerIsAwaitedOnItsConnection) {
  Outcome& poll = Start(kPoll, kPollWait + kTimeout);
  OpenConnections(2);
  server_.set_delay(common::milliseconds(300));
  const int before = server_.requests();
  const uint64_t opened = pool_.opened();
  Outcome& call = Start(kGet);
  RunFor(common::milliseconds(800));
  EXPECT_TRUE(call.result.has_value() && call.result->ok());
  EXPECT_EQ(server_.requests(), before + 1);
  EXPECT_EQ(pool_.opened(), opened);
  EXPECT_FALSE(poll.result.has_value());
}

// A server that answers on no connection is reported as such, after one more
// try.
TEST_F(HttpCallTest, ServerThatIsAwayIsReported) {
  OpenConnections(1);
  link_.SetFault(LinkFault::kCutToServer);
  const uint64_t opened = pool_.opened();
  Outcome& call = Start(kGet);
  RunFor(common::milliseconds(1500));
  ASSERT_TRUE(call.result.has_value());
  EXPECT_TRUE(absl::IsDeadlineExceeded(call.result->status()));
  EXPECT_EQ(pool_.opened(), opened + 1);
}

// Guards against a long poll that waits for an answer which was lost while the
// server answered nothing.
TEST_F(HttpCallTest, LongPollEndsWhenTheServerAnswersAgain) {
  server_.set_silent(true);
  Outcome& lost = Start(kGet);
  RunFor(kTimeout - common::milliseconds(100));
  Outcome& poll = Start(kPoll, kPollWait + kTimeout);
  RunFor(common::milliseconds(200));
  ASSERT_TRUE(lost.result.has_value());
  EXPECT_FALSE(poll.result.has_value());
  server_.set_silent(false);
  Outcome& later_poll = Start(kPoll, kPollWait + kTimeout);
  Outcome& call = Start(kGet);
  RunFor(common::milliseconds(100));
  EXPECT_TRUE(call.result.has_value() && call.result->ok());
  ASSERT_TRUE(poll.result.has_value());
  EXPECT_TRUE(absl::IsAborted(poll.result->status())) << poll.result->status();
  EXPECT_FALSE(later_poll.result.has_value());
}

// A connection that has answered since the call was sent is not closed with the
// silent one.
// Guards against a call that waits on a silent connection although another one
// was heard a moment ago.
TEST_F(HttpCallTest, ConnectionHeardLastIsUsedNext) {
  OpenConnections(2);
  server_.set_delay(common::milliseconds(100));
  const Outcome& first = Start(kGet);
  RunFor(common::milliseconds(20));
  const Outcome& second = Start(kGet);
  RunFor(common::milliseconds(150));
  ASSERT_TRUE(first.result.has_value() && second.result.has_value());
  EXPECT_GT(pool_.Acquire(link_.address(), link_.address()).heard_at(),
            first.ended_at);
}

TEST_F(HttpCallTest, ConnectionHeardMeanwhileIsKept) {
  OpenConnections(1);
  link_.SetFault(LinkFault::kSilenceOpen);
  Outcome& silent = Start(kGet);
  Outcome& heard = Start(kGet);
  Outcome& poll = Start(kPoll, kPollWait + kTimeout);
  RunFor(common::milliseconds(800));
  EXPECT_TRUE(heard.result.has_value() && heard.result->ok());
  EXPECT_TRUE(silent.result.has_value() && silent.result->ok());
  EXPECT_FALSE(poll.result.has_value());
}

// Answers each call with a body in pieces that does not end.
class EndlessBody final : public RequestHandler {
 public:
  explicit EndlessBody(event_loop::EventLoop& loop)
      : loop_(loop), limiter_(loop, {}), server_(loop, *this, limiter_) {
    EXPECT_TRUE(server_.Listen("127.0.0.1:0").ok());
  }
  std::string address() const {
    return common::StrCat("127.0.0.1:", server_.port());
  }
  size_t open() const { return open_.size(); }

  void OnRequest(CallerChannel& channel,
                 const http1::RequestHead&,
                 std::string) override {
    open_.insert(&channel);
    channel.BeginStream(200, {});
    Write(channel);
  }
  void OnCallerGone(CallerChannel& channel) override { open_.erase(&channel); }

 private:
  void Write(CallerChannel& channel) {
    if (!open_.contains(&channel)) {
      return;
    }
    if (channel.unsent() == 0) {
      channel.WriteStream(std::string(size_t{16} << 10, 'x'));
    }
    loop_.RunAfter(common::milliseconds(1),
                   [this, &channel] { Write(channel); });
  }

  event_loop::EventLoop& loop_;
  ChannelLimiter limiter_;
  ChannelServer server_;
  std::set<CallerChannel*> open_;
};

class EndlessBodyTest : public testing::Test {
 protected:
  EndlessBodyTest() : server_(loop_), pool_(loop_, {}) {}

  void RunUntil(const std::function<bool()>& condition) {
    const common::Time end = loop_.Now() + common::seconds(20);
    while (!condition() && loop_.Now() < end) {
      loop_.RunAfter(common::milliseconds(1), [this] { loop_.Stop(); });
      loop_.Run();
    }
  }

  event_loop::EventLoop loop_;
  EndlessBody server_;
  EndpointPool pool_;
};

// Guards against a server whose answer is read, though it is too large, until
// the call's timeout.
TEST_F(EndlessBodyTest, CallFailsAtItsLimit) {
  HttpCaller caller(loop_, pool_);
  Call call = kGet;
  call.max_answer_bytes = 100'000;
  std::optional<CallResult> result;
  caller.Start(server_.address(), call, common::seconds(60),
               [&](const CallResult& answer) { result = answer; });
  RunUntil([&] { return result.has_value() && server_.open() == 0; });
  ASSERT_TRUE(result.has_value());
  EXPECT_TRUE(absl::IsResourceExhausted(result->status()));
  EXPECT_EQ(server_.open(), 0U);
}

// Guards against many answers that are each within their limit. Calls fail
// until the rest fit, and a call after them succeeds.
TEST_F(EndlessBodyTest, CallsFailAtTheLimitOfAll) {
  constexpr int kCalls = 8;
  HttpCaller caller(loop_, pool_, {.max_held_bytes = 400'000});
  Server sound(loop_);
  int failed = 0;
  for (int i = 0; i < kCalls; ++i) {
    caller.Start(server_.address(), kGet, common::seconds(60),
                 [&](const CallResult& answer) {
                   failed += absl::IsResourceExhausted(answer.status()) ? 1 : 0;
                 });
  }
  RunUntil([&] { return failed == kCalls; });
  EXPECT_EQ(failed, kCalls);
  std::optional<CallResult> result;
  caller.Start(sound.address(), kGet, common::seconds(60),
               [&](const CallResult& answer) { result = answer; });
  RunUntil([&] { return result.has_value(); });
  ASSERT_TRUE(result.has_value());
  EXPECT_TRUE(result->ok());
}

}  // namespace
}  // namespace wagtailshore::http_channel
