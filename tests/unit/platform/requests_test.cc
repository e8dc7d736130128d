#include "platform/requests.h"

#include <gtest/gtest.h>

namespace wagtailshore::platform {
namespace {

http1::RequestHead HeadOf(
    const std::vector<std::pair<std::string, std::string>>& fields) {
  http1::RequestHead head{.method = "POST", .target = "/p/x"};
  for (const auto& [name, value] : fields) {
    head.headers.Add(name, value);
  }
  return head;
}

TEST(RequestsTest, FieldsAreDecodedOnce) {
  const auto request =
      DecodeCallerRequest(HeadOf({{"Host", "h"},
                                  {"X-Wagtailshore-Attempt-Id", "a1"},
                                  {"X-Wagtailshore-Deadline-Ms", "1500"},
                                  {"X-Wagtailshore-Token-Count", "1460,80"},
                                  {"Last-Event-Id", "12"},
                                  {"Authorization", "Token secret"}}),
                          "body");
  EXPECT_EQ(request.attempt_id, "a1");
  EXPECT_EQ(request.host, "h");
  EXPECT_EQ(request.time_left, common::milliseconds(1500));
  EXPECT_EQ(request.prompt_tokens, 1460U);
  EXPECT_EQ(request.max_answer_tokens, 80U);
  EXPECT_EQ(request.resume_after, 12U);
  EXPECT_EQ(request.key, "secret");
}

// Callers must not be able to set the headers that the gateway adds for
// endpoints, such as the customer.
struct PromptPartsCase {
  const char* name;
  const char* header;
  std::vector<std::string> shared;
};

class PromptPartsTest : public testing::TestWithParam<PromptPartsCase> {};

TEST_P(PromptPartsTest, TheLastPartIsNotShared) {
  const auto request = DecodeCallerRequest(
      HeadOf({{"X-Wagtailshore-Prompt-Prefix", GetParam().header}}), {});
  EXPECT_EQ(request.shared_prompt_parts, GetParam().shared);
}

INSTANTIATE_TEST_SUITE_P(
    Headers,
    PromptPartsTest,
    testing::Values(
        PromptPartsCase{"Three", "5c1e:800,91BD:410,e440:2", {"5c1e", "91bd"}},
        PromptPartsCase{"OnlyItsOwn", "5c1e:800", {}},
        PromptPartsCase{"WithoutTokens", "5c1e,91bd", {"5c1e"}},
        PromptPartsCase{"Spaces", "5c1e:1, 91bd:2 ,e4:3", {"5c1e", "91bd"}},
        PromptPartsCase{"Empty", "", {}},
        PromptPartsCase{"Malformed", "5c1e:1,x/y:2,e4:3", {}},
        PromptPartsCase{"MissingId", "5c1e:1,,e4:3", {}}),
    [](const auto& info) { return info.param.name; });

TEST(RequestsTest, ForwardedHeadersAreTheSystemsOwn) {
  const auto request =
      DecodeCallerRequest(HeadOf({{"Host", "h"},
                                  {"X-Wagtailshore-Attempt-Id", "a1"},
                                  {"X-Wagtailshore-Tenant", "forged"},
                                  {"x-wagtailshore-expect-instance", "forged"},
                                  {"X-Wagtailshore-Request-Priority", "0"},
                                  {"X-Wagtailshore-Expect-Version", "9"},
                                  {"X-Wagtailshore-Model", "m"},
                                  {"Authorization", "Token secret"},
                                  {"Connection", "keep-alive, X-Hop"},
                                  {"X-Hop", "1"},
                                  {"X-Other", "kept"}}),
                          "body");
  const std::string text =
      EncodeForwardedHead(request, {.endpoint_id = "i-1",
                                    .customer = "c",
                                    .time_left = common::milliseconds(700)}) +
      request.body;
  http1::RequestReader reader{http1::ReaderOptions{}};
  const auto progress = reader.Read(text);
  ASSERT_TRUE(progress.ok());
  const http1::Headers& headers = reader.head().headers;
  EXPECT_EQ(*headers.Find("X-Wagtailshore-Tenant"), "c");
  EXPECT_EQ(headers.Count("X-Wagtailshore-Tenant"), 1U);
  EXPECT_EQ(*headers.Find("X-Wagtailshore-Expect-Instance"), "i-1");
  EXPECT_EQ(*headers.Find("X-Wagtailshore-Deadline-Ms"), "700");
  EXPECT_EQ(*headers.Find("X-Wagtailshore-Attempt-Id"), "a1");
  EXPECT_EQ(*headers.Find("X-Wagtailshore-Model"), "m");
  EXPECT_EQ(*headers.Find("X-Other"), "kept");
  EXPECT_EQ(*headers.Find("X-Wagtailshore-Request-Priority"), "5");
  for (const char* name : {"Authorization", "X-Hop", "Connection",
                           "X-Wagtailshore-Expect-Version"}) {
    EXPECT_EQ(headers.Find(name), nullptr) << name;
  }
  EXPECT_EQ(progress->body, "body");
}

TEST(RequestsTest, WithoutACustomerNoneIsNamed) {
  const auto request =
      DecodeCallerRequest(HeadOf({{"X-Wagtailshore-Tenant", "forged"}}), "");
  EXPECT_EQ(EncodeForwardedHead(request, {.endpoint_id = "i"}).find("forged"),
            std::string::npos);
}

struct AnswerCase {
  const char* name;
  int status;
  std::vector<std::pair<std::string, std::string>> fields;
  bool sealed;
  bool not_run;
};

class EndpointAnswerTest : public testing::TestWithParam<AnswerCase> {};

TEST_P(EndpointAnswerTest, PromisesAreRead) {
  http1::ResponseHead head{.status = GetParam().status};
  for (const auto& [name, value] : GetParam().fields) {
    head.headers.Add(name, value);
  }
  const proxied::EndpointAnswer answer = DecodeEndpointAnswer(head);
  EXPECT_EQ(answer.sealed, GetParam().sealed);
  EXPECT_EQ(answer.not_run, GetParam().not_run);
}

INSTANTIATE_TEST_SUITE_P(
    Answers,
    EndpointAnswerTest,
    testing::Values(AnswerCase{"Sealed",
                               200,
                               {{"X-Wagtailshore-Server-Seal", "s"}},
                               true,
                               false},
                    AnswerCase{"Bare", 200, {}, false, false},
                    AnswerCase{"Refused",
                               503,
                               {{"X-Wagtailshore-Not-Executed", "1"}},
                               false,
                               true},
                    AnswerCase{"BareRefusal", 503, {}, false, false},
                    AnswerCase{"Misdirected", 421, {}, false, true}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(RequestsTest, LoadAndIdleTimeAreRead) {
  http1::ResponseHead head{.status = 200};
  head.headers.Add("X-Wagtailshore-Server-Load", "3,1,8");
  head.headers.Add("Keep-Alive", "timeout=5, max=100");
  const proxied::EndpointAnswer answer = DecodeEndpointAnswer(head);
  ASSERT_TRUE(answer.load.has_value());
  EXPECT_EQ(answer.load->running, 3U);
  EXPECT_EQ(answer.load->queued, 1U);
  EXPECT_EQ(answer.load->slots, 8U);
  EXPECT_EQ(answer.keep_alive, common::seconds(5));
  EXPECT_EQ(answer.headers.Find("X-Wagtailshore-Server-Load"), nullptr);
}

struct RequestLimitCase {
  const char* name;
  const char* header;
  std::optional<double> limit;
};

class RequestLimitTest : public testing::TestWithParam<RequestLimitCase> {};

TEST_P(RequestLimitTest, OnlyANumberOfRequestsIsALimit) {
  http1::ResponseHead head{.status = 200};
  head.headers.Add("Server-Limit", GetParam().header);
  EXPECT_EQ(DecodeEndpointAnswer(head).request_limit, GetParam().limit);
}

INSTANTIATE_TEST_SUITE_P(
    Headers,
    RequestLimitTest,
    testing::Values(RequestLimitCase{"Decimal", "2.4", 2.4},
                    RequestLimitCase{"Integer", "12", 12},
                    RequestLimitCase{"Zero", "0", 0},
                    RequestLimitCase{"Negative", "-1", std::nullopt},
                    RequestLimitCase{"Text", "few", std::nullopt},
                    RequestLimitCase{"Infinite", "inf", std::nullopt},
                    RequestLimitCase{"NotANumber", "nan", std::nullopt},
                    RequestLimitCase{"Empty", "", std::nullopt}),
    [](const auto& info) { return info.param.name; });

TEST(RequestsTest, WithoutTheHeaderNoLimitIsNamed) {
  EXPECT_EQ(DecodeEndpointAnswer({.status = 200}).request_limit, std::nullopt);
}

struct LeavingHeaderCase {
  const char* name;
  const char* header;
  bool leaving;
};

class LeavingHeaderTest : public testing::TestWithParam<LeavingHeaderCase> {};

TEST_P(LeavingHeaderTest, OnlyItsOneValueSaysSo) {
  http1::ResponseHead head{.status = 200};
  head.headers.Add("Server-Leaving", GetParam().header);
  EXPECT_EQ(DecodeEndpointAnswer(head).leaving, GetParam().leaving);
}

INSTANTIATE_TEST_SUITE_P(Headers,
                         LeavingHeaderTest,
                         testing::Values(LeavingHeaderCase{"One", "1", true},
                                         LeavingHeaderCase{"Zero", "0", false},
                                         LeavingHeaderCase{"Empty", "", false}),
                         [](const auto& info) { return info.param.name; });

struct RestCase {
  const char* name;
  const char* header;
  std::optional<common::Duration> rest;
  int status = 503;
  const char* date = "Fri, 04 Dec 2026 10:00:00 GMT";
};

class RestTest : public testing::TestWithParam<RestCase> {};

TEST_P(RestTest, OnlyARefusalWithATimeToComeAsksForRest) {
  http1::ResponseHead head{.status = GetParam().status};
  head.headers.Add("Retry-After", GetParam().header);
  head.headers.Add("Date", GetParam().date);
  EXPECT_EQ(DecodeEndpointAnswer(head).rest, GetParam().rest);
}

INSTANTIATE_TEST_SUITE_P(
    Headers,
    RestTest,
    testing::Values(
        RestCase{"Seconds", "3", common::seconds(3)},
        RestCase{"Fraction", "0.25", common::milliseconds(250)},
        RestCase{"Zero", "0", std::nullopt},
        RestCase{"Negative", "-2", std::nullopt},
        RestCase{"Huge", "1e300", common::seconds(24 * 3600)},
        RestCase{"Infinite", "inf", common::seconds(24 * 3600)},
        RestCase{"NotANumber", "nan", std::nullopt},
        RestCase{"Text", "soon", std::nullopt},
        RestCase{"Empty", "", std::nullopt},
        RestCase{"Date", "Fri, 04 Dec 2026 10:00:05 GMT", common::seconds(5)},
        RestCase{"PastDate", "Fri, 04 Dec 2026 09:00:00 GMT", std::nullopt},
        RestCase{.name = "DateWithoutOneToCompare",
                 .header = "Fri, 04 Dec 2026 10:00:05 GMT",
                 .rest = std::nullopt,
                 .date = "now"},
        RestCase{.name = "NotARefusal",
                 .header = "3",
                 .rest = std::nullopt,
                 .status = 500}),
    [](const auto& info) { return info.param.name; });

// Guards against a header without a value that passes for a receipt.
TEST(RequestsTest, EmptySealIsNone) {
  http1::ResponseHead head{.status = 200};
  head.headers.Add("X-Wagtailshore-Server-Seal", "");
  EXPECT_FALSE(DecodeEndpointAnswer(head).sealed);
  head.headers.Set("X-Wagtailshore-Server-Seal", "s");
  EXPECT_TRUE(DecodeEndpointAnswer(head).sealed);
}

// Guards against a request that fails as one that may have run though its
// endpoint stated that it did not run it: the header states it by being there.
TEST(RequestsTest, NotRunNeedsNoValue) {
  http1::ResponseHead head{.status = 503};
  EXPECT_FALSE(DecodeEndpointAnswer(head).not_run);
  for (const char* value : {"", "1", "full"}) {
    head.headers.Set("X-Wagtailshore-Not-Executed", value);
    EXPECT_TRUE(DecodeEndpointAnswer(head).not_run) << value;
  }
}

}  // namespace
}  // namespace wagtailshore::platform
