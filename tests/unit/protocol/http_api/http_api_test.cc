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

}  // namespace
}  // namespace wagtailshore::http_api
