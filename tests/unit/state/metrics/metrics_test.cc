#include "state/metrics/metrics.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <sstream>

#include "common/strings.h"

namespace wagtailshore::metrics {
namespace {

using common::milliseconds;
using testing::HasSubstr;

TEST(DurationHistogramTest, ABucketIncludesItsUpperBound) {
  DurationHistogram histogram;
  histogram.Record(common::Duration::zero());
  histogram.Record(milliseconds(40));
  histogram.Record(milliseconds(41));
  histogram.Record(common::seconds(100));
  std::string text;
  histogram.AppendTo(text, "t");
  EXPECT_THAT(text, HasSubstr("t_bucket{le=\"0.001\"} 1\n"));
  EXPECT_THAT(text, HasSubstr("t_bucket{le=\"0.03\"} 1\n"));
  EXPECT_THAT(text, HasSubstr("t_bucket{le=\"0.04\"} 2\n"));
  EXPECT_THAT(text, HasSubstr("t_bucket{le=\"0.06\"} 3\n"));
  EXPECT_THAT(text, HasSubstr("t_bucket{le=\"60\"} 3\n"));
  EXPECT_THAT(text, HasSubstr("t_bucket{le=\"+Inf\"} 4\n"));
  EXPECT_THAT(text, HasSubstr("t_sum 100.081\n"));
  EXPECT_THAT(text, HasSubstr("t_count 4\n"));
}

TEST(AnswerTimesTest, TokensThatComeTogetherShareTheTime) {
  AnswerTimes times(common::Time{});
  times.OnTokens(1, common::Time{} + milliseconds(700));
  times.OnTokens(4, common::Time{} + milliseconds(780));
  times.OnTokens(0, common::Time{} + milliseconds(900));
  EXPECT_EQ(times.first_token(), milliseconds(700));
  Metrics metrics;
  metrics.OnAnswer(times);
  const std::string text = metrics.Format();
  EXPECT_THAT(text, HasSubstr("first_token_seconds_bucket{le=\"0.74\"} 1\n"));
  EXPECT_THAT(text, HasSubstr("between_token_seconds_bucket{le=\"0.01\"} 0\n"));
  EXPECT_THAT(text, HasSubstr("between_token_seconds_bucket{le=\"0.02\"} 4\n"));
  EXPECT_THAT(text, HasSubstr("between_token_seconds_count 4\n"));
}

TEST(MetricsTest, CountsOutcomesByCode) {
  Metrics metrics;
  metrics.OnComplete();
  metrics.OnComplete();
  metrics.OnRefused(refusal::Code::kLimited);
  const std::string text = metrics.Format();
  EXPECT_THAT(text, HasSubstr("requests_total{outcome=\"complete\"} 2\n"));
  EXPECT_THAT(text, HasSubstr("requests_total{outcome=\"limited\"} 1\n"));
  EXPECT_THAT(text, HasSubstr("requests_total{outcome=\"draining\"} 0\n"));
}

TEST(MetricsTest, WritesEverySeriesOfTheTableWithItsTypeAndHelp) {
  const std::string text = Metrics().Format();
  for (const SeriesSpec& spec : SeriesTable()) {
    EXPECT_THAT(
        text,
        HasSubstr(common::StrCat(
            "# HELP ", spec.name, " ", spec.help, "\n# TYPE ", spec.name, " ",
            common::NameOf(kSeriesTypeNames, spec.type), "\n", spec.name)));
  }
}

TEST(MetricsDocTest, ThePageListsExactlyTheTable) {
  std::ifstream file(WS_DOCS_DIR "/METRICS.md");
  std::ostringstream page;
  page << file.rdbuf();
  std::string rows;
  for (const SeriesSpec& spec : SeriesTable()) {
    common::StrAppend(&rows, "| `", spec.name, "` | ",
                      common::NameOf(kSeriesTypeNames, spec.type), " | ",
                      spec.help, " |\n");
  }
  EXPECT_THAT(page.str(),
              HasSubstr(common::StrCat("| --- | --- | --- |\n", rows, "\n")));
  std::string bounds;
  for (const double bound : kBucketBounds) {
    common::StrAppend(&bounds, bounds.empty() ? "" : ", ", bound);
  }
  std::string one_line = page.str();
  std::replace(one_line.begin(), one_line.end(), '\n', ' ');
  EXPECT_THAT(one_line, HasSubstr(bounds + "."));
}

}  // namespace
}  // namespace wagtailshore::metrics
