#include "transport/machine/machine.h"

#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cstdint>

namespace wagtailshore::machine {
namespace {

// Blocks of this size or more get a mapping of their own. Set explicitly, as
// the allocator otherwise raises it with the sizes that it has freed.
constexpr int kMappedBlockBytes = 128 << 10;
constexpr int kMaxArenas = 2;

}  // namespace

size_t MemoryBytes() {
  const long pages = sysconf(_SC_PHYS_PAGES);
  const long page_bytes = sysconf(_SC_PAGESIZE);
  if (pages <= 0 || page_bytes <= 0) {
    return SIZE_MAX / 2;
  }
  return static_cast<size_t>(pages) * static_cast<size_t>(page_bytes);
}

size_t MaxDescriptors() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
      limit.rlim_cur == RLIM_INFINITY) {
    return INT32_MAX;
  }
  return limit.rlim_cur;
}

client_budget::MachineLimits LimitsWithin(size_t memory_bytes,
                                          size_t max_sockets) {
  client_budget::MachineLimits limits{.memory_bytes = MemoryBytes(),
                                      .max_sockets = MaxDescriptors()};
  if (memory_bytes > 0) {
    limits.memory_bytes = std::min(limits.memory_bytes, memory_bytes);
  }
  if (max_sockets > 0) {
    limits.max_sockets = std::min(limits.max_sockets, max_sockets);
  }
  return limits;
}

void ConfigureAllocator() {
  mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes);
  mallopt(M_TRIM_THRESHOLD, kMappedBlockBytes);
  mallopt(M_ARENA_MAX, kMaxArenas);
}

void ReturnFreedMemory() {
  malloc_trim(0);
}

}  // namespace wagtailshore::machine
