#ifndef BENCH_CAPACITY_H_
#define BENCH_CAPACITY_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "state/manifest/manifest.h"

// The parts of topic `capacity`. Each part measures the cost of one operation,
// without network or disk access, at several sizes.
namespace wagtailshore::bench::capacity {

// Cost of a part at one size.
struct Cost {
  // Heap memory that the state uses, in bytes.
  double heap_bytes = 0;
  // Size of the encoded message or text, in bytes.
  double wire_bytes = 0;
  // Processor time of one operation, in microseconds.
  double microseconds = 0;
};

struct Part {
  std::string_view name;
  // The unit of `sizes`, such as "endpoints".
  std::string_view unit;
  std::vector<size_t> sizes;
  std::function<Cost(size_t)> measure;
};

// A manifest whose endpoints are spread over `domains` failure domains.
manifest::Manifest ManifestOf(size_t endpoints,
                              size_t customers,
                              size_t domains);
// The address for control messages and the failure domain of endpoint `number`
// in ManifestOf().
std::string PeerAddress(size_t number);
std::string FailureDomain(size_t number, size_t domains);

// Parsing, digests and look-ups of the manifest.
std::vector<Part> ManifestParts();
// Routing state, membership and the control exchange between peers.
std::vector<Part> PeerParts();
// Callers' requests, their tokens, and expert map changes.
std::vector<Part> RequestParts();

// Heap memory that this process uses, in bytes.
size_t HeapBytesInUse();

// Processor time of `operation`, in microseconds: the median of several
// batches, each long enough for the resolution of the clock.
double MicrosecondsOf(const std::function<void()>& operation);

}  // namespace wagtailshore::bench::capacity

#endif  // BENCH_CAPACITY_H_
