#include "daemon/gateway/gateway.h"

#include <gtest/gtest.h>

#include <map>

#include "common/strings.h"
#include "support/hosted_world.h"

namespace wagtailshore::hosted_world {
namespace {

using nlohmann::json;

// The expected answer to a caller, and the number of attempts that reach
// endpoints, when the first attempt is answered by `first` and all later ones
// succeed.
struct FaultCase {
  const char* name;
  const char* path;
  std::function<Reply(const Received&)> first;
  int status;
  bool whole;
  size_t arrivals;
};

class FirstAttemptTest : public testing::TestWithParam<FaultCase> {};

TEST_P(FirstAttemptTest, AnswerIsWholeAndPromisesAreTrue) {
  const FaultCase& param = GetParam();
  HostedWorld world(2);
  int attempts = 0;
  world.Script([&](const Received& request) {
    if (++attempts == 1) {
      return param.first(request);
    }
    return std::string_view(param.path).starts_with("/stream/")
               ? Stream(request, 0, 4)
               : Plain(request, 200, "ok");
  });
  const CallerAnswer answer = world.Ask({.path = param.path});
  EXPECT_EQ(answer.status, param.status);
  EXPECT_EQ(answer.complete, param.whole);
  EXPECT_EQ(world.arrivals(), param.arrivals);
  if (answer.status == 200 && answer.complete) {
    EXPECT_NE(answer.headers.Find("X-Wagtailshore-Server-Seal"), nullptr);
  }
  if (answer.status == 503) {
    EXPECT_NE(answer.headers.Find("Retry-After"), nullptr);
  }
}

Reply Ok(const Received& request) {
  return Plain(request, 200, "ok");
}
Reply Error(const Received& request) {
  return Plain(request, 500, "error");
}
Reply ResetWithoutAnswer(const Received&) {
  return {.reset = true};
}
Reply CutBody(const Received& request) {
  return {.bytes = common::StrCat(HeadOf(request, 200, "Content-Length: 9\r\n"),
                                  "\r\nabc"),
          .reset = true};
}
// The head of a success, closed in order at some point.
Reply CutHead(const char* bytes) {
  return {.bytes = bytes, .close = true};
}
Reply CutAfterStatus(const Received&) {
  return CutHead("HTTP/1.1 200 OK\r\n");
}
Reply CutInsideHeader(const Received&) {
  return CutHead("HTTP/1.1 200 OK\r\nContent-Len");
}
Reply NotHttp(const Received&) {
  return {.bytes = "garbage\r\n\r\n"};
}
// A success but for its status.
Reply WithStatus(const Received& request, const std::string& status) {
  Reply reply = Plain(request, 200, "ok");
  const std::string line = "HTTP/1.1 ";
  reply.bytes.replace(line.size(), status.size(), status);
  return reply;
}
Reply Status000(const Received& request) {
  return WithStatus(request, "000");
}
Reply Status099(const Received& request) {
  return WithStatus(request, "099");
}
Reply Status600(const Received& request) {
  return WithStatus(request, "600");
}
Reply Status999(const Received& request) {
  return WithStatus(request, "999");
}
Reply WithoutSeal(const Received& request) {
  const std::string* id =
      request.head.headers.Find("X-Wagtailshore-Attempt-Id");
  return {.bytes = common::StrCat(
              "HTTP/1.1 200 OK\r\nX-Wagtailshore-Attempt-Id: ", *id,
              "\r\nContent-Length: 2\r\n\r\nok")};
}
Reply BareRefusal(const Received& request) {
  return Plain(request, 503, "");
}
Reply ForeignAnswerFirst(const Received& request) {
  Received other = request;
  other.head.headers.Set("X-Wagtailshore-Attempt-Id", "another");
  return {.bytes = Plain(other, 200, "not yours").bytes +
                   Plain(request, 200, "ok").bytes};
}
Reply AnswerTwice(const Received& request) {
  return {.bytes = Plain(request, 200, "ok").bytes +
                   Plain(request, 200, "again").bytes};
}
Reply UntilClose(const Received& request) {
  return {.bytes = common::StrCat(HeadOf(request, 200, ""), "\r\nok"),
          .close = true};
}
Reply UntilReset(const Received& request) {
  return {.bytes = common::StrCat(HeadOf(request, 200, ""), "\r\nok"),
          .reset = true};
}

// A stream with neither a length nor chunks, which ends with its connection.
Reply StreamUntilClose(const Received& request, const std::string& events) {
  return {.bytes = common::StrCat(HeadOf(request, 200, ""), "\r\n", events),
          .close = true};
}
Reply WholeStreamUntilClose(const Received& request) {
  return StreamUntilClose(request, "id: 0\ndata: x\n\nid: 1\ndata: x\n\n");
}
Reply StreamClosedInsideAnEvent(const Received& request) {
  return StreamUntilClose(request, "id: 0\ndata: x\n\nid: 1\nda");
}
Reply StreamClosedInsideItsFirstEvent(const Received& request) {
  return StreamUntilClose(request, "id: 0\nda");
}
Reply StreamClosedBeforeItsFirstEvent(const Received& request) {
  return StreamUntilClose(request, "");
}

INSTANTIATE_TEST_SUITE_P(
    Faults,
    FirstAttemptTest,
    testing::Values(
        FaultCase{"Safe", "/safe/x", Ok, 200, true, 1},
        FaultCase{"SafeError", "/safe/x", Error, 200, true, 2},
        FaultCase{"SafeReset", "/safe/x", ResetWithoutAnswer, 200, true, 2},
        FaultCase{"SafeCut", "/safe/x", CutBody, 200, true, 2},
        FaultCase{"SafeHeadCut", "/safe/x", CutAfterStatus, 200, true, 2},
        FaultCase{"SafeHeaderCut", "/safe/x", CutInsideHeader, 200, true, 2},
        FaultCase{"SafeGarbage", "/safe/x", NotHttp, 200, true, 2},
        FaultCase{"SafeUnsealed", "/safe/x", WithoutSeal, 200, true, 2},
        FaultCase{"SafeRefused", "/safe/x", Refusal, 200, true, 2},
        FaultCase{"SafeUntilClose", "/safe/x", UntilClose, 200, true, 1},
        FaultCase{"SafeUntilReset", "/safe/x", UntilReset, 200, true, 2},
        FaultCase{"Once", "/once/x", Ok, 200, true, 1},
        FaultCase{"OnceError", "/once/x", Error, 500, true, 1},
        FaultCase{"OnceReset", "/once/x", ResetWithoutAnswer, 502, true, 1},
        FaultCase{"OnceCut", "/once/x", CutBody, 502, true, 1},
        FaultCase{"OnceUnsealed", "/once/x", WithoutSeal, 502, true, 1},
        FaultCase{"OnceRefused", "/once/x", Refusal, 503, true, 1},
        FaultCase{"OnceBareRefusal", "/once/x", BareRefusal, 502, true, 1},
        FaultCase{"OnceForeign", "/once/x", ForeignAnswerFirst, 200, true, 1},
        FaultCase{"OnceExtra", "/once/x", AnswerTwice, 200, true, 1},
        // Guard against statuses that are none: they pass for interim
        // responses, or as answers.
        FaultCase{"SafeStatus000", "/safe/x", Status000, 200, true, 2},
        FaultCase{"SafeStatus099", "/safe/x", Status099, 200, true, 2},
        FaultCase{"SafeStatus600", "/safe/x", Status600, 200, true, 2},
        FaultCase{"SafeStatus999", "/safe/x", Status999, 200, true, 2},
        FaultCase{"OnceStatus000", "/once/x", Status000, 502, true, 1},
        FaultCase{"OnceStatus600", "/once/x", Status600, 502, true, 1},
        FaultCase{"StreamStatus000", "/stream/x", Status000, 200, true, 2},
        FaultCase{"StreamStatus999", "/stream/x", Status999, 200, true, 2},
        FaultCase{"StreamUntilClose", "/stream/x", WholeStreamUntilClose, 200,
                  true, 1},
        FaultCase{"StreamClosedInsideAnEvent", "/stream/x",
                  StreamClosedInsideAnEvent, 200, true, 2},
        FaultCase{"StreamClosedInsideItsFirstEvent", "/stream/x",
                  StreamClosedInsideItsFirstEvent, 200, true, 2},
        FaultCase{"StreamClosedBeforeItsFirstEvent", "/stream/x",
                  StreamClosedBeforeItsFirstEvent, 200, true, 2},
        FaultCase{
            "StreamCutEarly", "/stream/x",
            [](const Received& request) { return CutStream(request, 0, -1); },
            200, true, 2}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(GatewayTest, CutStreamGoesOnAtItsNextEvent) {
  HostedWorld world(2);
  world.Script([](const Received& request) {
    const std::string* after = request.head.headers.Find("Last-Event-Id");
    return after == nullptr ? CutStream(request, 0, 2)
                            : Stream(request, std::stoi(*after) + 1, 5);
  });
  const CallerAnswer answer = world.Ask({.path = "/stream/x"});
  EXPECT_EQ(answer.status, 200);
  EXPECT_TRUE(answer.complete);
  std::string expected;
  for (int id = 0; id <= 5; ++id) {
    expected += common::StrCat("id: ", id, "\ndata: x\n\n");
  }
  EXPECT_EQ(answer.body, expected);
}

TEST(GatewayTest, StreamClosedInsideAnEventGoesOnWithThatEvent) {
  HostedWorld world(2);
  world.Script([](const Received& request) {
    return request.head.headers.Find("Last-Event-Id") == nullptr
               ? StreamClosedInsideAnEvent(request)
               : Stream(request, 1, 2);
  });
  const CallerAnswer answer = world.Ask({.path = "/stream/x"});
  EXPECT_TRUE(answer.complete);
  EXPECT_EQ(answer.body,
            "id: 0\ndata: x\n\nid: 1\ndata: x\n\nid: 2\ndata: x\n\n");
  // The next request gets a connection of its own.
  EXPECT_EQ(world.Ask({.path = "/stream/x", .id = "a2"}).status, 200);
}

// A stream that cannot be resumed must not end as if it were complete, and no
// other response may be written into it.
TEST(GatewayTest, StreamThatCannotGoOnIsBroken) {
  HostedWorld world(2);
  world.Script([](const Received& request) {
    return request.head.headers.Find("Last-Event-Id") == nullptr
               ? CutStream(request, 0, 2)
               : Refusal(request);
  });
  const CallerAnswer answer = world.Ask({.path = "/stream/x"});
  EXPECT_EQ(answer.status, 200);
  EXPECT_FALSE(answer.complete);
  EXPECT_EQ(answer.body.find("HTTP"), std::string::npos);
}

// What an endpoint answers to a resumed stream instead of its events.
struct ResumptionCase {
  const char* name;
  std::function<Reply(const Received&)> second;
};

std::ostream& operator<<(std::ostream& out, const ResumptionCase& param) {
  return out << param.name;
}

Reply TextWith(const Received& request,
               int status,
               const std::string& headers,
               const std::string& body,
               bool close = false) {
  const std::string length =
      close ? "" : common::StrCat("Content-Length: ", body.size(), "\r\n");
  return {.bytes = common::StrCat(HeadOf(request, status, headers + length),
                                  "\r\n", body),
          .close = close};
}

class ResumedStreamTest : public testing::TestWithParam<ResumptionCase> {};

// Guards against an error of the second endpoint in the middle of a stream, and
// against a stream that then ends as if it were complete.
TEST_P(ResumedStreamTest, ErrorOfTheNextEndpointBreaksTheStream) {
  HostedWorld world(2);
  world.Script([](const Received& request) {
    return request.head.headers.Find("Last-Event-Id") == nullptr
               ? CutStream(request, 0, 2)
               : GetParam().second(request);
  });
  const CallerAnswer answer = world.Ask({.path = "/stream/x"});
  EXPECT_EQ(answer.status, 200);
  EXPECT_FALSE(answer.complete);
  EXPECT_EQ(answer.body,
            "id: 0\ndata: x\n\nid: 1\ndata: x\n\nid: 2\ndata: x\n\n");
}

constexpr char kErrorEvent[] = "event: error\ndata: failed\n\n";

INSTANTIATE_TEST_SUITE_P(
    Errors,
    ResumedStreamTest,
    testing::Values(
        ResumptionCase{"Error",
                       [](const Received& request) {
                         return Plain(request, 500, "failed\n\n");
                       }},
        ResumptionCase{"ErrorUntilClose",
                       [](const Received& request) {
                         return TextWith(request, 502, "", kErrorEvent,
                                         /*close=*/true);
                       }},
        ResumptionCase{"NotFound",
                       [](const Received& request) {
                         return Plain(request, 404, "id: 3\ndata: x\n\n");
                       }},
        ResumptionCase{"Refusal", Refusal},
        ResumptionCase{"BadRequestNotRun",
                       [](const Received& request) {
                         return TextWith(request, 400,
                                         "X-Wagtailshore-Not-Executed: 1\r\n",
                                         kErrorEvent);
                       }},
        ResumptionCase{"Unsealed", WithoutSeal},
        ResumptionCase{"NotHttp", NotHttp},
        ResumptionCase{"ErrorAsAnEvent",
                       [](const Received& request) {
                         return TextWith(request, 200, "", kErrorEvent);
                       }},
        ResumptionCase{"TextWithStatus200",
                       [](const Received& request) {
                         return TextWith(request, 200, "",
                                         "{\"error\":\"failed\"}\n\n");
                       }},
        ResumptionCase{"TextUntilClose",
                       [](const Received& request) {
                         return TextWith(request, 200, "", kErrorEvent,
                                         /*close=*/true);
                       }},
        ResumptionCase{"NothingUntilClose",
                       [](const Received& request) {
                         return TextWith(request, 200, "", "", /*close=*/true);
                       }},
        ResumptionCase{"ErrorAfterAnEvent",
                       [](const Received& request) {
                         return TextWith(
                             request, 200, "",
                             common::StrCat("id: 2\ndata: x\n\n", kErrorEvent));
                       }}),
    [](const auto& info) { return std::string(info.param.name); });

// The other side: a stream that broke off between its last event and its end is
// complete when the next endpoint has nothing to add; comments are no events.
TEST(GatewayTest, ResumedStreamWithoutFurtherEventsIsComplete) {
  for (const char* body : {"", ": nothing more\n\n"}) {
    HostedWorld world(2);
    world.Script([&](const Received& request) {
      return request.head.headers.Find("Last-Event-Id") == nullptr
                 ? CutStream(request, 0, 2)
                 : TextWith(request, 200, "", body);
    });
    EXPECT_TRUE(world.Ask({.path = "/stream/x"}).complete) << body;
  }
}

// An answer of an earlier exchange that an endpoint writes once more on a kept
// connection, ahead of its answer to the next request.
struct RepeatedAnswerCase {
  const char* name;
  int status;
  const char* headers;
  // Whether it names the earlier request.
  bool with_id;
};

std::ostream& operator<<(std::ostream& out, const RepeatedAnswerCase& param) {
  return out << param.name;
}

class RepeatedAnswerTest : public testing::TestWithParam<RepeatedAnswerCase> {};

// Guards against "not run" for a request that runs, and against its second run.
TEST_P(RepeatedAnswerTest, DoesNotAnswerTheNextRequest) {
  const RepeatedAnswerCase& param = GetParam();
  for (const char* path : {"/once/x", "/safe/x", "/stream/x"}) {
    HostedWorld world(2);
    int runs = 0;
    std::map<std::string, std::string> earlier_of;
    world.Script([&](const Received& request) {
      const std::string* id =
          request.head.headers.Find("X-Wagtailshore-Attempt-Id");
      const std::string* expected =
          request.head.headers.Find("X-Wagtailshore-Expect-Instance");
      std::string& earlier = earlier_of[*expected];
      const std::string repeated = earlier;
      earlier = common::StrCat(
          "HTTP/1.1 ", param.status, " X\r\n",
          param.with_id
              ? common::StrCat("X-Wagtailshore-Attempt-Id: ", *id, "\r\n")
              : "",
          param.headers, "Content-Length: 0\r\n\r\n");
      ++runs;
      const bool stream = request.head.target.starts_with("/stream/");
      return Reply{.bytes = repeated + (stream ? Stream(request, 0, 2)
                                               : Plain(request, 200, "ok"))
                                           .bytes};
    });
    for (int i = 0; i < 6; ++i) {
      runs = 0;
      const CallerAnswer answer =
          world.Ask({.path = path, .id = common::StrCat("n", i)});
      EXPECT_EQ(answer.status, 200) << path << " " << i;
      EXPECT_TRUE(answer.complete);
      EXPECT_EQ(runs, 1) << path << " " << i;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    Answers,
    RepeatedAnswerTest,
    testing::Values(
        RepeatedAnswerCase{"Refusal", 503, "X-Wagtailshore-Not-Executed: 1\r\n",
                           true},
        RepeatedAnswerCase{"RefusalWithoutId", 503,
                           "X-Wagtailshore-Not-Executed: 1\r\n", false},
        RepeatedAnswerCase{"LimitWithoutId", 429,
                           "X-Wagtailshore-Not-Executed: 1\r\n", false},
        RepeatedAnswerCase{"MisdirectedWithoutId", 421, "", false},
        RepeatedAnswerCase{"BadRequestWithoutId", 400,
                           "X-Wagtailshore-Not-Executed: 1\r\n", false},
        RepeatedAnswerCase{"ErrorWithoutId", 500, "", false},
        RepeatedAnswerCase{"LeavingRefusal", 503,
                           "X-Wagtailshore-Not-Executed: 1\r\n"
                           "Server-Limit: 0.1\r\n",
                           true}),
    [](const auto& info) { return std::string(info.param.name); });

// The other side: the first answer on a connection can only be the request's
// own, also without an id.
TEST(GatewayTest, FirstAnswerOnAConnectionNeedsNoId) {
  HostedWorld world(1);
  world.Script([](const Received&) {
    return Reply{.bytes =
                     "HTTP/1.1 503 X\r\nX-Wagtailshore-Not-Executed: 1\r\n"
                     "Content-Length: 0\r\n\r\n"};
  });
  EXPECT_EQ(world.Ask({.path = "/once/x"}).status, 503);
}

TEST(GatewayTest, EventsThatAreMissingBreakTheStream) {
  HostedWorld world(1);
  world.Script([](const Received& request) {
    return Reply{.bytes = common::StrCat(
                     HeadOf(request, 200, "Transfer-Encoding: chunked\r\n"),
                     "\r\n", Events(0, 1), Events(3, 4), "0\r\n\r\n")};
  });
  EXPECT_FALSE(world.Ask({.path = "/stream/x"}).complete);
}

// Bytes without end in place of an answer, or within one.
struct EndlessCase {
  const char* name;
  const char* path;
  std::function<std::string(const Received&)> start;
  // Repeated after the start.
  const char* repeated;
  // Whether the gateway buffers the bytes, and so closes the connection once
  // they are too many. Otherwise it reads no more until the route's timeout.
  bool buffered = true;
};

std::ostream& operator<<(std::ostream& out, const EndlessCase& param) {
  return out << param.name;
}

class EndlessBytesTest : public testing::TestWithParam<EndlessCase> {};

// Guards against an endpoint that makes the gateway buffer until it runs out of
// memory. The test sends more than the gateway buffers for one request.
TEST_P(EndlessBytesTest, ConnectionIsClosedAndTheNextRequestIsServed) {
  constexpr size_t kSent = 12 << 20;
  const EndlessCase& param = GetParam();
  HostedWorld world(1);
  bool endless = true;
  world.Script([&](const Received& request) {
    if (!endless) {
      return std::string_view(param.path).starts_with("/stream/")
                 ? Stream(request, 0, 4)
                 : Plain(request, 200, "ok");
    }
    std::string bytes = param.start(request);
    while (bytes.size() < kSent) {
      bytes += param.repeated;
    }
    return Reply{.bytes = std::move(bytes)};
  });
  const common::Time asked_at = world.loop().Now();
  const CallerAnswer answer = world.Ask({.path = param.path});
  EXPECT_FALSE(answer.status == 200 && answer.complete);
  if (param.buffered) {
    // Well before the route's timeout.
    EXPECT_LT(world.loop().Now() - asked_at, common::milliseconds(1500));
  }
  EXPECT_NE(answer.status, 503);
  EXPECT_TRUE(world.RunUntil([&] { return world.endpoint(0).closed() > 0; }));
  endless = false;
  EXPECT_EQ(world.Ask({.path = param.path, .id = "a2"}).status, 200);
}

// 64 bytes.
constexpr const char* kChunk =
    "40\r\n0123456789abcdef0123456789abcdef"
    "0123456789abcdef0123456789abcdef\r\n";

std::string ChunkedHead(const Received& request) {
  return common::StrCat(HeadOf(request, 200, "Transfer-Encoding: chunked\r\n"),
                        "\r\n");
}

INSTANTIATE_TEST_SUITE_P(
    All,
    EndlessBytesTest,
    testing::Values(
        EndlessCase{"NoAnswer", "/once/x",
                    [](const Received&) { return std::string(); }, "xxxxxxxx"},
        EndlessCase{
            "Head", "/once/x",
            [](const Received& request) { return HeadOf(request, 200, ""); },
            "X-Other: value\r\n"},
        EndlessCase{"Body", "/once/x", ChunkedHead, kChunk},
        EndlessCase{"BodyUntilClose", "/once/x",
                    [](const Received& request) {
                      return common::StrCat(
                          HeadOf(request, 200, "Connection: close\r\n"),
                          "\r\n");
                    },
                    "xxxxxxxx"},
        EndlessCase{
            "ChunkExtension", "/once/x",
            [](const Received& request) { return ChunkedHead(request) + "8;"; },
            "xxxxxxxx", /*buffered=*/false},
        EndlessCase{"Event", "/stream/x", ChunkedHead, "8\r\ndata: x\n\r\n"}),
    [](const auto& test) { return std::string(test.param.name); });

class FaultyEndpointTest : public testing::TestWithParam<EndlessCase> {};

// Guards against bytes without end that count as nobody's failure: the request
// would wait for its deadline instead of being sent to another endpoint.
TEST_P(FaultyEndpointTest, RequestIsServedByAnother) {
  constexpr size_t kSent = 12 << 20;
  const EndlessCase& param = GetParam();
  HostedWorld world(2);
  world.endpoint(0).set_script([&](const Received& request) {
    std::string bytes = param.start(request);
    while (bytes.size() < kSent) {
      bytes += param.repeated;
    }
    return Reply{.bytes = std::move(bytes)};
  });
  world.endpoint(1).set_script([](const Received& request) {
    return request.head.target.starts_with("/stream/")
               ? Stream(request, 0, 4)
               : Plain(request, 200, "ok");
  });
  int asked = 0;
  while (world.endpoint(0).received().empty()) {
    ASSERT_LT(++asked, 50);
    const CallerAnswer answer =
        world.Ask({.path = param.path, .id = common::StrCat("a", asked)});
    ASSERT_EQ(answer.status, 200);
    ASSERT_TRUE(answer.complete);
  }
  EXPECT_TRUE(world.RunUntil([&] { return world.endpoint(0).closed() > 0; }));
}

std::string HeadWith(const Received& request,
                     int status,
                     const std::string& fields) {
  return common::StrCat(HeadOf(request, status, fields), "\r\n");
}

std::string ForeignHead(const std::string& length) {
  return common::StrCat(
      "HTTP/1.1 200 OK\r\nX-Wagtailshore-Attempt-Id: other\r\n"
      "X-Wagtailshore-Server-Seal: s\r\nContent-Length: ",
      length, "\r\n\r\n");
}

INSTANTIATE_TEST_SUITE_P(
    All,
    FaultyEndpointTest,
    testing::Values(
        EndlessCase{"Letters", "/safe/x",
                    [](const Received&) { return std::string(); }, "xxxxxxxx"},
        EndlessCase{"InterimResponses", "/safe/x",
                    [](const Received&) { return std::string(); },
                    "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"},
        EndlessCase{
            "ForeignResponse", "/safe/x",
            [](const Received&) { return ForeignHead("1000000000000"); },
            "xxxxxxxx"},
        EndlessCase{"ForeignResponses", "/safe/x",
                    [](const Received&) { return ForeignHead("0"); },
                    "HTTP/1.1 200 OK\r\nX-Wagtailshore-Attempt-Id: other\r\n"
                    "Content-Length: 0\r\n\r\n"},
        EndlessCase{
            "ChunkLine", "/safe/x",
            [](const Received& request) { return ChunkedHead(request) + "8;"; },
            "xxxxxxxx"},
        EndlessCase{"ChunkSize", "/safe/x", ChunkedHead, "00000000"},
        EndlessCase{"Extensions", "/safe/x", ChunkedHead,
                    "1;xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\na\r\n"},
        EndlessCase{"Trailer", "/safe/x",
                    [](const Received& request) {
                      return ChunkedHead(request) + "0\r\n";
                    },
                    "X-Field: value\r\n"},
        EndlessCase{"Body", "/safe/x", ChunkedHead, kChunk},
        EndlessCase{"ErrorBody", "/safe/x",
                    [](const Received& request) {
                      return HeadWith(request, 500, "Connection: close\r\n");
                    },
                    "xxxxxxxx"},
        EndlessCase{"RefusalBody", "/safe/x",
                    [](const Received& request) {
                      return HeadWith(request, 503,
                                      "X-Wagtailshore-Not-Executed: 1\r\n"
                                      "Connection: close\r\n");
                    },
                    "xxxxxxxx"},
        EndlessCase{"Event", "/stream/x",
                    [](const Received& request) {
                      return HeadWith(request, 200, "Connection: close\r\n");
                    },
                    "data: x\n"},
        EndlessCase{"Comments", "/stream/x",
                    [](const Received& request) {
                      return HeadWith(request, 200, "Connection: close\r\n");
                    },
                    ": comment\n\n"}),
    [](const auto& test) { return std::string(test.param.name); });

// All ranks of a group that lost a rank refuse, so a retry on another rank
// would be wasted.
TEST(GatewayTest, StalledGroupIsNotAskedTwice) {
  HostedWorld world(2);
  world.Script([](const Received& request) {
    return Reply{.bytes = common::StrCat(
                     HeadOf(request, 503,
                            "X-Wagtailshore-Not-Executed: 1\r\nAt-Server: "
                            "10.0.0.1:1\r\nContent-Length: 0\r\n"),
                     "\r\n")};
  });
  const CallerAnswer answer = world.Ask({.path = "/stream/x"});
  EXPECT_EQ(answer.status, 503);
  EXPECT_EQ(world.arrivals(), 1U);
  EXPECT_GE(std::stod(*answer.headers.Find("Retry-After")), 1.0);
}

TEST(GatewayTest, UnreachableEndpointIsPassedOver) {
  HostedWorld world(1);
  world.store().SetEndpoint("dead", {{"service", "s"},
                                     {"address", "127.0.0.1:1"},
                                     {"zone", "z"},
                                     {"slots", 4},
                                     {"state", "ready"}});
  for (int i = 0; i < 8; ++i) {
    EXPECT_EQ(
        world.Ask({.path = "/once/x", .id = common::StrCat("a", i)}).status,
        200);
  }
  EXPECT_EQ(world.arrivals(), 8U);
}

struct OwnAnswerCase {
  const char* name;
  CallerRequestOptions options;
  int status;
};

class OwnAnswerTest : public testing::TestWithParam<OwnAnswerCase> {};

TEST_P(OwnAnswerTest, IsGivenWithoutAnEndpoint) {
  HostedWorld world(1);
  EXPECT_EQ(world.Ask(GetParam().options).status, GetParam().status);
  EXPECT_EQ(world.arrivals(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Requests,
    OwnAnswerTest,
    testing::Values(OwnAnswerCase{"UnknownKey", {.key = "stranger"}, 401},
                    OwnAnswerCase{"UnknownPath", {.path = "/none/x"}, 404}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(GatewayTest, RevokedKeyIsRefusedOnceTheChangeIsKnown) {
  HostedWorld world(1);
  EXPECT_EQ(world.Ask({.key = "other"}).status, 200);
  nlohmann::json configuration = HostedWorld::Configuration(2);
  configuration["tenants"][0]["api_keys"] = {"key"};
  world.store().SetConfiguration(configuration);
  EXPECT_TRUE(world.RunUntil(
      [&] { return world.Ask({.key = "other"}).status == 401; }));
  EXPECT_EQ(world.Ask({.key = "key"}).status, 200);
}

TEST(GatewayTest, OlderConfigurationDoesNotComeBack) {
  HostedWorld world(1);
  nlohmann::json configuration = HostedWorld::Configuration(5);
  configuration["routes"].erase(0);
  world.store().SetConfiguration(configuration);
  ASSERT_TRUE(world.RunUntil([&] { return world.Ask({}).status == 404; }));
  const int calls = world.store().calls();
  world.store().SetConfiguration(HostedWorld::Configuration(4));
  ASSERT_TRUE(
      world.RunUntil([&] { return world.store().calls() > calls + 2; }));
  EXPECT_EQ(world.Ask({}).status, 404);
}

// While the store is unavailable, a gateway cannot know whether a key has been
// revoked.
TEST(GatewayTest, KeysAreNotTrustedForLongWithoutTheStore) {
  HostedWorld world(1, common::milliseconds(900));
  EXPECT_EQ(world.Ask({}).status, 200);
  world.store().set_down(true);
  ASSERT_TRUE(world.RunUntil([&] { return world.Ask({}).status == 503; }));
  const size_t arrivals = world.arrivals();
  EXPECT_EQ(world.Ask({}).status, 503);
  EXPECT_EQ(world.arrivals(), arrivals);
  world.store().set_down(false);
  EXPECT_TRUE(world.RunUntil([&] { return world.Ask({}).status == 200; }));
}

TEST(GatewayTest, CallerWhoLeavesTakesItsRequestBack) {
  HostedWorld world(1);
  world.Script([](const Received&) { return Reply{}; });
  world.AskAndDisconnect({.path = "/safe/x"}, common::milliseconds(50));
  EXPECT_TRUE(world.RunUntil([&] { return world.endpoint(0).closed() > 0; }));
  EXPECT_EQ(world.arrivals(), 1U);
}

TEST(GatewayTest, SilentEndpointEndsWithTheRoutesTimeout) {
  HostedWorld world(1);
  world.Script([](const Received&) { return Reply{}; });
  EXPECT_EQ(world.Ask({.path = "/once/x"}).status, 504);
}

TEST(GatewayTest, EndpointsConnectionsAreReused) {
  HostedWorld world(1);
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(world.Ask({.id = common::StrCat("a", i)}).status, 200);
  }
  EXPECT_EQ(world.endpoint(0).closed(), 0);
}

TEST(GatewayTest, DrainingEndpointGetsNoMoreWork) {
  HostedWorld world(2);
  world.store().SetEndpoint(
      "e0",
      HostedWorld::EndpointEntry(world.endpoint(0).address(), 1, "draining"));
  const int calls = world.store().calls();
  ASSERT_TRUE(
      world.RunUntil([&] { return world.store().calls() > calls + 40; }));
  const size_t before = world.endpoint(0).received().size();
  for (int i = 0; i < 6; ++i) {
    EXPECT_EQ(world.Ask({.id = common::StrCat("a", i)}).status, 200);
  }
  EXPECT_EQ(world.endpoint(0).received().size(), before);
}

// Configuration changes in quick succession must be read together, as each read
// costs a store call of every gateway.
TEST(ConfigurationTest, StormIsReadInFewCalls) {
  constexpr int kVersions = 30;
  HostedWorld world(1);
  const int calls = world.store().calls();
  int version = 1;
  std::function<void()> change = [&] {
    json configuration = HostedWorld::Configuration(++version);
    configuration["routes"].push_back(
        {{"name", "new"},
         {"host", "h.example"},
         {"prefix", common::StrCat("/v", version, "/")},
         {"route_kind", "safe"},
         {"timeout_ms", 2000},
         {"service", "s"}});
    world.store().SetConfiguration(configuration);
    if (version < kVersions) {
      world.loop().RunAfter(common::milliseconds(20), change);
    }
  };
  change();
  const std::string last = common::StrCat("/v", kVersions, "/x");
  // Requests end with 404 until the last version is in force.
  bool in_force = false;
  for (int i = 0; i < 200 && !in_force; ++i) {
    in_force = world.Ask({.path = last}).status == 200;
    const common::Time next = common::Clock::now() + common::milliseconds(20);
    world.RunUntil([&] { return common::Clock::now() >= next; });
  }
  EXPECT_TRUE(in_force);
  EXPECT_EQ(version, kVersions);
  EXPECT_LT(world.store().calls() - calls, kVersions / 2);
}

}  // namespace
}  // namespace wagtailshore::hosted_world
