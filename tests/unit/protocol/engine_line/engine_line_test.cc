#include "protocol/engine_line/engine_line.h"

#include <gtest/gtest.h>

namespace wagtailshore::engine_line {
namespace {

TEST(EngineLineTest, ReadsAPiece) {
  const auto piece = Parse(R"({"tokens": 2, "text": "ab", "last": true})");
  ASSERT_TRUE(piece.ok()) << piece.status();
  EXPECT_EQ(piece->tokens, 2u);
  EXPECT_EQ(piece->text, "ab");
  EXPECT_TRUE(piece->last);
}

class BadLineTest : public testing::TestWithParam<const char*> {};

TEST_P(BadLineTest, IsRefused) {
  EXPECT_FALSE(Parse(GetParam()).ok());
}

INSTANTIATE_TEST_SUITE_P(
    EngineLine,
    BadLineTest,
    testing::Values("",
                    "no JSON",
                    "[]",
                    R"({"tokens": 2, "text": "ab"})",
                    R"({"tokens": -1, "text": "ab", "last": true})",
                    R"({"tokens": 1e300, "text": "ab", "last": true})",
                    R"({"tokens": 2, "text": "ab", "last": 1})"));

}  // namespace
}  // namespace wagtailshore::engine_line
