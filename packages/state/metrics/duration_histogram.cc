#include "state/metrics/duration_histogram.h"

#include <boost/histogram/make_histogram.hpp>
#include <cmath>
#include <limits>

#include "common/strings.h"

namespace wagtailshore::metrics {
namespace {

// Boost's bins exclude their upper bound, but the buckets of the exposition
// format include it, so each bound is moved up to the next double.
std::array<double, kBucketBounds.size()> InclusiveBounds() {
  std::array<double, kBucketBounds.size()> bounds = kBucketBounds;
  for (double& bound : bounds) {
    bound = std::nextafter(bound, std::numeric_limits<double>::infinity());
  }
  return bounds;
}

}  // namespace

DurationHistogram::DurationHistogram()
    : buckets_(boost::histogram::make_histogram_with(Counts(),
                                                     Axis(InclusiveBounds()))) {
}

void DurationHistogram::Record(common::Duration duration) {
  const double seconds = std::chrono::duration<double>(duration).count();
  buckets_(seconds);
  sum_seconds_ += seconds;
  ++count_;
}

void DurationHistogram::Add(const DurationHistogram& other) {
  buckets_ += other.buckets_;
  sum_seconds_ += other.sum_seconds_;
  count_ += other.count_;
}

void DurationHistogram::AppendTo(std::string& out,
                                 std::string_view name) const {
  // Bin -1 is Boost's underflow bin: values up to the first bound.
  uint64_t cumulative = buckets_.at(-1);
  for (size_t i = 0; i < kBucketBounds.size(); ++i) {
    common::StrAppend(&out, name, "_bucket{le=\"", kBucketBounds.at(i), "\"} ",
                      cumulative, "\n");
    cumulative += buckets_.at(static_cast<int>(i));
  }
  common::StrAppend(&out, name, "_bucket{le=\"+Inf\"} ", count_, "\n");
  common::StrAppend(&out, name, "_sum ", sum_seconds_, "\n");
  common::StrAppend(&out, name, "_count ", count_, "\n");
}

}  // namespace wagtailshore::metrics
