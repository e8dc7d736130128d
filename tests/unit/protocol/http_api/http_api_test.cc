#include "protocol/http_api/http_api.h"

#include <gtest/gtest.h>

namespace wagtailshore::http_api {
namespace {

struct BodyCase {
  const char* name;
  const char* value;
  int values;
  bool accepted;
};

std::ostream& operator<<(std::ostream& out, const BodyCase& param) {
  return out << param.name;
}

class ParseCallTest : public testing::TestWithParam<BodyCase> {};

// Guards against bodies that take a hundred times their size once parsed.
TEST_P(ParseCallTest, LimitsTheNumberOfValues) {
  const BodyCase& param = GetParam();
  std::string body = R"({"call":"print","input":[)";
  for (int i = 0; i < param.values; ++i) {
    body += i == 0 ? "" : ",";
    body += param.value;
  }
  body += "]}";
  const auto call = ParseCall("POST", "/v1/services/printing/call", body);
  EXPECT_EQ(std::holds_alternative<Call>(call), param.accepted);
  if (!param.accepted) {
    EXPECT_EQ(std::get<refusal::Refusal>(call).code,
              refusal::Code::kBadRequest);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Bodies,
    ParseCallTest,
    testing::Values(BodyCase{"Few", "{}", 3, true},
                    BodyCase{"Many", "0", 99'000, true},
                    BodyCase{"TooManyNumbers", "0", 100'001, false},
                    BodyCase{"TooManyObjects", "{}", 100'001, false},
                    BodyCase{"TooManyArrays", "[]", 100'001, false},
                    BodyCase{"TooManyNames", R"({"a":0})", 50'001, false}),
    [](const auto& info) { return std::string(info.param.name); });

class NoKeyTest : public testing::TestWithParam<Headers> {};

// Guards against an empty key, which would be that of a customer whose key was
// hashed from an empty text.
TEST_P(NoKeyTest, IsUnauthorized) {
  const auto envelope = ParseEnvelope(GetParam());
  const auto* refusal = std::get_if<refusal::Refusal>(&envelope);
  ASSERT_NE(refusal, nullptr);
  EXPECT_EQ(refusal->code, refusal::Code::kUnauthorized);
}

INSTANTIATE_TEST_SUITE_P(Keys,
                         NoKeyTest,
                         testing::Values(Headers{},
                                         Headers{{"authorization", ""}},
                                         Headers{{"authorization", "Bearer"}},
                                         Headers{{"authorization", "Bearer "}},
                                         Headers{
                                             {"authorization", "Basic k"}}));

}  // namespace
}  // namespace wagtailshore::http_api
