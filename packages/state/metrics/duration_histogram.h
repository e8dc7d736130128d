#ifndef STATE_METRICS_DURATION_HISTOGRAM_H_
#define STATE_METRICS_DURATION_HISTOGRAM_H_

#include <array>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

#include "common/time.h"

namespace wagtailshore::metrics {

// Inclusive upper bounds of the buckets, in seconds. They include the latency
// targets: 0.04 between tokens, 0.74 for the first token, 3 for a rollout.
inline constexpr std::array kBucketBounds = {
    0.001, 0.0025, 0.005, 0.01, 0.02, 0.03, 0.04, 0.06, 0.1, 0.2,
    0.4,   0.74,   1.0,   2.0,  3.0,  5.0,  10.0, 30.0, 60.0};

// Counts durations in buckets.
class DurationHistogram {
 public:
  DurationHistogram();

  void Record(common::Duration duration);
  // Adds the counts and the sum of `other`.
  void Add(const DurationHistogram& other);

  uint64_t count() const { return count_; }

  // Appends the buckets, sum and count of the series `name` in the text
  // exposition format.
  void AppendTo(std::string& out, std::string_view name) const;

 private:
  using Axis = boost::histogram::axis::variable<double>;
  using Counts = boost::histogram::dense_storage<uint64_t>;

  boost::histogram::histogram<std::tuple<Axis>, Counts> buckets_;
  double sum_seconds_ = 0;
  uint64_t count_ = 0;
};

}  // namespace wagtailshore::metrics

#endif  // STATE_METRICS_DURATION_HISTOGRAM_H_
