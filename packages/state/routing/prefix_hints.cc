#include "state/routing/prefix_hints.h"

#include <algorithm>
#include <array>
#include <functional>

namespace wagtailshore::routing {
namespace {

// Endpoints kept per prefix.
constexpr size_t kMaxHolders = 4;
constexpr size_t kBytesPerToken = 4;
// Prompts are compared by their first 8192, 2048, 512 and 128 bytes.
constexpr std::array<size_t, 4> kPrefixBytes = {8192, 2048, 512, 128};

}  // namespace

std::vector<Prefix> PrefixesOf(std::string_view prompt) {
  std::vector<Prefix> prefixes;
  for (const size_t bytes : kPrefixBytes) {
    if (prompt.size() >= bytes) {
      prefixes.push_back(
          {.hash = std::hash<std::string_view>()(prompt.substr(0, bytes)),
           .tokens = static_cast<uint32_t>(bytes / kBytesPerToken)});
    }
  }
  return prefixes;
}

void PrefixHints::Add(uint64_t prefix, uint32_t endpoint) {
  auto [found, inserted] = entries_.try_emplace(prefix);
  Entry& entry = found->second;
  if (inserted) {
    lru_.push_front(prefix);
    entry.lru_position = lru_.begin();
  } else {
    lru_.splice(lru_.begin(), lru_, entry.lru_position);
  }
  std::erase(entry.holders, endpoint);
  entry.holders.insert(entry.holders.begin(), endpoint);
  if (entry.holders.size() > kMaxHolders) {
    entry.holders.pop_back();
  }
  if (entries_.size() > max_prefixes_) {
    entries_.erase(lru_.back());
    lru_.pop_back();
  }
}

void PrefixHints::Remove(uint64_t prefix, uint32_t endpoint) {
  const auto found = entries_.find(prefix);
  if (found != entries_.end()) {
    std::erase(found->second.holders, endpoint);
  }
}

void PrefixHints::RemoveEndpoint(uint32_t endpoint) {
  for (auto& [prefix, entry] : entries_) {
    std::erase(entry.holders, endpoint);
  }
  last_sequence_.erase(endpoint);
}

void PrefixHints::OnEvent(uint32_t endpoint, const CacheEvent& event) {
  const auto last = last_sequence_.find(endpoint);
  if (last != last_sequence_.end()) {
    if (event.sequence <= last->second) {
      return;
    }
    if (event.sequence != last->second + 1) {
      RemoveEndpoint(endpoint);
    }
  }
  last_sequence_[endpoint] = event.sequence;
  for (const uint64_t prefix : event.removed) {
    Remove(prefix, endpoint);
  }
  for (const uint64_t prefix : event.added) {
    Add(prefix, endpoint);
  }
}

const std::vector<uint32_t>* PrefixHints::Holders(uint64_t prefix) const {
  const auto found = entries_.find(prefix);
  return found == entries_.end() ? nullptr : &found->second.holders;
}

}  // namespace wagtailshore::routing
