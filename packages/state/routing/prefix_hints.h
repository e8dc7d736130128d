#ifndef STATE_ROUTING_PREFIX_HINTS_H_
#define STATE_ROUTING_PREFIX_HINTS_H_

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/time.h"

namespace wagtailshore::routing {

// The beginning of a prompt; engines keep prefixes in their cache.
struct Prefix {
  uint64_t hash = 0;
  // Estimated from the length in bytes.
  uint32_t tokens = 0;
};

// Returns the prefixes of `prompt` that hints are kept for, longest first.
std::vector<Prefix> PrefixesOf(std::string_view prompt);

// Changes of an engine's cache, as it reports them. Events arrive late, and
// some are lost.
struct CacheEvent {
  // Increases by one with each event of an endpoint.
  uint64_t sequence = 0;
  std::vector<uint64_t> added;
  std::vector<uint64_t> removed;
};

// Keeps which endpoints probably have a prefix in their cache. The size is
// bounded: the least recently used prefix is evicted first. Endpoints are
// identified by Candidate::id.
class PrefixHints {
 public:
  explicit PrefixHints(size_t max_prefixes) : max_prefixes_(max_prefixes) {}

  // Called when the endpoint is sent a prompt with this prefix, or reports that
  // it has cached it.
  void Add(uint64_t prefix, uint32_t endpoint);
  void Remove(uint64_t prefix, uint32_t endpoint);
  void RemoveEndpoint(uint32_t endpoint);
  // Applies the event. A gap in the sequence means that events were lost, so
  // that any earlier hint on the endpoint may be wrong: they are all removed.
  void OnEvent(uint32_t endpoint, const CacheEvent& event);

  // Returns the endpoints that probably have the prefix, most recently used
  // first, or null for an unknown prefix.
  const std::vector<uint32_t>* Holders(uint64_t prefix) const;

  size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    std::vector<uint32_t> holders;
    std::list<uint64_t>::iterator lru_position;
  };

  size_t max_prefixes_;
  std::unordered_map<uint64_t, Entry> entries_;
  // Most recently used first.
  std::list<uint64_t> lru_;
  std::unordered_map<uint32_t, uint64_t> last_sequence_;
};

}  // namespace wagtailshore::routing

#endif  // STATE_ROUTING_PREFIX_HINTS_H_
