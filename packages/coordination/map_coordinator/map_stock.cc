#include "coordination/map_coordinator/map_stock.h"

#include <utility>

namespace wagtailshore::map_coordinator {
namespace {

// Covers the map in use and a few that were prepared and abandoned since.
constexpr size_t kMaxMaps = 4;

}  // namespace

void MapHistory::Add(uint64_t version, std::shared_ptr<const GroupMap> map) {
  maps_[version] = std::move(map);
  if (maps_.size() > kMaxMaps) {
    maps_.erase(maps_.begin());
  }
}

std::shared_ptr<const GroupMap> MapHistory::Find(uint64_t version) const {
  const auto found = maps_.find(version);
  return found == maps_.end() ? nullptr : found->second;
}

}  // namespace wagtailshore::map_coordinator
