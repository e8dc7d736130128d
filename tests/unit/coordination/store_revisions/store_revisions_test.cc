#include "coordination/store_revisions/store_revisions.h"

#include <gtest/gtest.h>

#include <vector>

namespace wagtailshore::store_revisions {
namespace {

struct AnswersCase {
  const char* name;
  // Revision up to which the table was read.
  uint64_t known;
  uint64_t newest;
  // Revisions of rows that were read, in any table.
  std::vector<uint64_t> rows;
  bool may_have_changed;
};

std::ostream& operator<<(std::ostream& out, const AnswersCase& param) {
  return out << param.name;
}

class AnswersTest : public testing::TestWithParam<AnswersCase> {};

TEST_P(AnswersTest, OnlyRevisionsThatNoRowExplainsMayBeMissed) {
  const AnswersCase& param = GetParam();
  StoreRevisions revisions({});
  for (const uint64_t row : param.rows) {
    revisions.OnRow(row);
  }
  revisions.OnAnswer(param.newest);
  EXPECT_EQ(revisions.MayHaveChanged(param.known), param.may_have_changed);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    AnswersTest,
    testing::Values(
        AnswersCase{"NothingWritten", 10, 10, {}, false},
        AnswersCase{"AnswerOlderThanTheTable", 10, 8, {}, false},
        AnswersCase{"OneWrite", 10, 11, {}, true},
        AnswersCase{"OneWriteOfARowElsewhere", 10, 11, {11}, false},
        AnswersCase{"AllWritesOfRowsElsewhere", 10, 13, {11, 12, 13}, false},
        AnswersCase{"OneOfThreeWritesUnknown", 10, 13, {11, 13}, true},
        AnswersCase{"RowsThatWereKnownBefore", 10, 11, {9, 10}, true},
        AnswersCase{"RowNewerThanTheAnswer", 10, 11, {12}, true},
        AnswersCase{"RowReadTwice", 10, 12, {11, 11}, true}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(StoreRevisionsTest, RevisionsOfAnOlderCopyAreNotThoseFromBefore) {
  StoreRevisions revisions({});
  revisions.OnRow(11);
  revisions.OnAnswer(11);
  revisions.OnStoreRestored();
  EXPECT_FALSE(revisions.MayHaveChanged(10));
  revisions.OnAnswer(11);
  EXPECT_TRUE(revisions.MayHaveChanged(10));
}

TEST(StoreRevisionsTest, ForgottenRowsCountAsUnread) {
  StoreRevisions revisions({.max_rows = 2});
  for (const uint64_t row : {11, 12, 13}) {
    revisions.OnRow(row);
  }
  revisions.OnAnswer(13);
  EXPECT_TRUE(revisions.MayHaveChanged(10));
  EXPECT_FALSE(revisions.MayHaveChanged(11));
}

}  // namespace
}  // namespace wagtailshore::store_revisions
