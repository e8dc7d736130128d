#ifndef STATE_METRICS_METRICS_H_
#define STATE_METRICS_METRICS_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "common/enum_names.h"
#include "common/time.h"
#include "state/metrics/duration_histogram.h"
#include "state/refusal/refusal.h"

// Metrics of an entry, and their text exposition. docs/METRICS.md lists every
// series.
namespace wagtailshore::metrics {

enum class SeriesType { kHistogram, kCounter };

inline constexpr common::EnumNames<SeriesType, 2> kSeriesTypeNames = {{
    {SeriesType::kHistogram, "histogram"},
    {SeriesType::kCounter, "counter"},
}};

struct SeriesSpec {
  std::string_view name;
  SeriesType type = SeriesType::kHistogram;
  std::string_view help;
};

// Returns every series that Format() writes, in the same order.
std::span<const SeriesSpec> SeriesTable();

// Token latencies of one streamed response, as its caller sees them.
class AnswerTimes {
 public:
  // The request arrived at `arrived`.
  explicit AnswerTimes(common::Time arrived) : previous_(arrived) {}

  // `tokens` tokens became available to the caller at `now`. After the first
  // tokens, the time since the previous ones is divided evenly among the new
  // ones.
  void OnTokens(uint64_t tokens, common::Time now);

  const std::optional<common::Duration>& first_token() const {
    return first_token_;
  }
  const DurationHistogram& between_tokens() const { return between_tokens_; }

 private:
  common::Time previous_;
  std::optional<common::Duration> first_token_;
  DurationHistogram between_tokens_;
};

// Counts requests by outcome and records token latencies. Owned by the control
// thread.
class Metrics {
 public:
  void OnAnswer(const AnswerTimes& times);
  void OnComplete();
  void OnRefused(refusal::Code code);

  // Returns all series in the text exposition format, version 0.0.4.
  std::string Format() const;

 private:
  DurationHistogram first_token_;
  DurationHistogram between_tokens_;
  uint64_t complete_ = 0;
  std::map<refusal::Code, uint64_t> refused_;
};

}  // namespace wagtailshore::metrics

#endif  // STATE_METRICS_METRICS_H_
