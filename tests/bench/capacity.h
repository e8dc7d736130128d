#ifndef BENCH_CAPACITY_H_
#define BENCH_CAPACITY_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "state/manifest/manifest.h"

// The parts of the topic "capacity": each measures one cost of the pure code
// at one size.
namespace wagtailshore::bench::capacity {

// What one size of a part costs.
struct Cost {
  // Bytes of the heap that the state holds.
  double heap_bytes = 0;
  // Bytes of the encoded message or text.
  double wire_bytes = 0;
  // Processor time of one operation, in microseconds.
  double microseconds = 0;
};

struct Part {
  std::string_view name;
  // What `sizes` counts.
  std::string_view unit;
  std::vector<size_t> sizes;
  std::function<Cost(size_t)> measure;
};

// A manifest whose endpoints are spread over `domains` failure domains.
manifest::Manifest ManifestOf(size_t endpoints,
                              size_t customers,
                              size_t domains);
// Where endpoint `number` of that manifest takes control messages, and its
// failure domain.
std::string PeerAddress(size_t number);
std::string FailureDomain(size_t number, size_t domains);

// Manifest and its readers: parsing, digests, look-ups.
std::vector<Part> ManifestParts();
// Peers: routing state, membership and the control exchange.
std::vector<Part> PeerParts();
// Callers' requests, their tokens, and expert map changes.
std::vector<Part> RequestParts();

// Heap bytes that are in use by this process.
size_t HeapBytesInUse();

// Processor time of `operation`, in microseconds: the median of several
// batches, each long enough for the clock.
double MicrosecondsOf(const std::function<void()>& operation);

}  // namespace wagtailshore::bench::capacity

#endif  // BENCH_CAPACITY_H_
