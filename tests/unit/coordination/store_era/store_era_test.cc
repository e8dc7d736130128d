#include "coordination/store_era/store_era.h"

#include <gtest/gtest.h>

namespace wagtailshore::store_era {
namespace {

struct AnswerCase {
  const char* name;
  std::optional<uint64_t> known;
  std::optional<uint64_t> answer;
  bool accepted;
  int restored;
  uint64_t current;
};

class AnswerTest : public testing::TestWithParam<AnswerCase> {};

TEST_P(AnswerTest, OnlyTheCurrentEraIsAccepted) {
  const AnswerCase& param = GetParam();
  StoreEra era;
  int restored = 0;
  era.OnRestored([&] { ++restored; });
  EXPECT_TRUE(era.Accept(param.known));
  EXPECT_EQ(era.Accept(param.answer), param.accepted);
  EXPECT_EQ(restored, param.restored);
  EXPECT_EQ(era.current(), param.current);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    AnswerTest,
    testing::Values(
        AnswerCase{"first", std::nullopt, 4, true, 0, 4},
        AnswerCase{"same", 4, 4, true, 0, 4},
        AnswerCase{"restored", 4, 5, false, 1, 5},
        AnswerCase{"twice_in_a_row", 4, 6, false, 1, 6},
        AnswerCase{"late_answer_of_an_older_era", 4, 3, false, 0, 4},
        AnswerCase{"answer_without_an_era", 4, std::nullopt, true, 0, 4}),
    [](const auto& test) { return test.param.name; });

TEST(StoreEraTest, NumbersOfALaterEraAreHigher) {
  constexpr uint64_t kManyClaims = 60'000;
  EXPECT_GT(FirstNumberOf(2), FirstNumberOf(1) + kManyClaims);
}

}  // namespace
}  // namespace wagtailshore::store_era
