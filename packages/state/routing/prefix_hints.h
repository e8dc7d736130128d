#ifndef STATE_ROUTING_PREFIX_HINTS_H_
#define STATE_ROUTING_PREFIX_HINTS_H_

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/time.h"

namespace wagtailshore::routing {

// The beginning of a prompt, as engines cache it.
struct Prefix {
  uint64_t hash = 0;
  uint32_t tokens = 0;
};

// The prefixes of `prompt` that hints are kept for, longest first. The token
// counts are estimates from the length.
std::vector<Prefix> PrefixesOf(std::string_view prompt);

// An engine's word on its cache; late, and some are lost.
struct CacheEvent {
  // Rises by one with each event of an endpoint.
  uint64_t sequence = 0;
  std::vector<uint64_t> added;
  std::vector<uint64_t> removed;
};

// Which endpoints probably hold a prefix in their cache. Bounded; the prefix
// least recently used is forgotten first. Endpoints are known by number.
class PrefixHints {
 public:
  explicit PrefixHints(size_t max_prefixes) : max_prefixes_(max_prefixes) {}

  // The endpoint was sent a prompt with this prefix, or told of caching it.
  void Add(uint64_t prefix, uint32_t endpoint);
  void Remove(uint64_t prefix, uint32_t endpoint);
  void Forget(uint32_t endpoint);
  // Applies the event. After a gap all earlier hints on the endpoint may be
  // wrong, so they go.
  void OnEvent(uint32_t endpoint, const CacheEvent& event);

  // Endpoints that probably hold it, most recently used first, or null.
  const std::vector<uint32_t>* Holders(uint64_t prefix) const;

  size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    std::vector<uint32_t> holders;
    std::list<uint64_t>::iterator used;
  };

  size_t max_prefixes_;
  std::unordered_map<uint64_t, Entry> entries_;
  // Most recently used first.
  std::list<uint64_t> used_;
  std::unordered_map<uint32_t, uint64_t> last_sequence_;
};

}  // namespace wagtailshore::routing

#endif  // STATE_ROUTING_PREFIX_HINTS_H_
