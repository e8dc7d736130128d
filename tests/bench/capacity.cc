#include "bench/capacity.h"

#include <malloc.h>
#include <time.h>

#include <algorithm>
#include <array>
#include <iomanip>

#include "bench/topics.h"

namespace wagtailshore::bench {
namespace capacity {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kNanosecondsPerMicrosecond = 1e3;
constexpr double kMinBatchMicroseconds = 5e3;
constexpr int kBatches = 5;

double ProcessorMicroseconds() {
  timespec spent{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &spent);
  return static_cast<double>(spent.tv_sec) * kMicrosecondsPerSecond +
         static_cast<double>(spent.tv_nsec) / kNanosecondsPerMicrosecond;
}

// Returns the processor time of `count` runs, in microseconds.
double MicrosecondsOfBatch(const std::function<void()>& operation,
                           size_t count) {
  const double before = ProcessorMicroseconds();
  for (size_t i = 0; i < count; ++i) {
    operation();
  }
  return ProcessorMicroseconds() - before;
}

using Column = double Cost::*;
constexpr std::array<Column, 3> kColumns = {
    &Cost::heap_bytes, &Cost::wire_bytes, &Cost::microseconds};

// Returns the least-squares slope of a column's costs over the sizes.
double SlopeOf(const std::vector<size_t>& sizes,
               const std::vector<Cost>& costs,
               Column column) {
  const auto count = static_cast<double>(sizes.size());
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  for (size_t i = 0; i < sizes.size(); ++i) {
    const auto x = static_cast<double>(sizes[i]);
    const double y = costs[i].*column;
    sum_x += x;
    sum_y += y;
    sum_xx += x * x;
    sum_xy += x * y;
  }
  return (count * sum_xy - sum_x * sum_y) / (count * sum_xx - sum_x * sum_x);
}

void PrintCosts(std::ostream& out,
                std::string_view name,
                std::string_view size,
                const std::array<double, kColumns.size()>& costs) {
  out << std::left << std::setw(22) << name << std::setw(16) << size
      << std::right << std::fixed;
  for (const double cost : costs) {
    out << std::setw(16) << std::setprecision(cost < 100 ? 4 : 0) << cost;
  }
  out << "\n";
}

void Run(const Part& part, std::ostream& out) {
  std::vector<Cost> costs;
  for (const size_t size : part.sizes) {
    costs.push_back(part.measure(size));
    PrintCosts(out, part.name,
               std::to_string(size) + " " + std::string(part.unit),
               {costs.back().heap_bytes, costs.back().wire_bytes,
                costs.back().microseconds});
  }
  std::array<double, kColumns.size()> slopes{};
  std::transform(
      kColumns.begin(), kColumns.end(), slopes.begin(),
      [&](Column column) { return SlopeOf(part.sizes, costs, column); });
  PrintCosts(out, part.name, "slope", slopes);
}

}  // namespace

size_t HeapBytesInUse() {
  return mallinfo2().uordblks + mallinfo2().hblkhd;
}

double MicrosecondsOf(const std::function<void()>& operation) {
  size_t count = 1;
  while (MicrosecondsOfBatch(operation, count) < kMinBatchMicroseconds) {
    count *= 2;
  }
  std::array<double, kBatches> batches{};
  for (double& batch : batches) {
    batch = MicrosecondsOfBatch(operation, count) / static_cast<double>(count);
  }
  std::sort(batches.begin(), batches.end());
  return batches[kBatches / 2];
}

}  // namespace capacity

void MeasureCapacity(const TopicOptions&, std::ostream& out) {
  out << "part                  size                  heap bytes"
         "      wire bytes              us\n";
  for (const auto& parts : {capacity::ManifestParts(), capacity::PeerParts(),
                            capacity::RequestParts()}) {
    for (const capacity::Part& part : parts) {
      capacity::Run(part, out);
    }
  }
}

}  // namespace wagtailshore::bench
