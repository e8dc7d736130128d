#include "coordination/map_coordinator/map_stock.h"

#include <utility>

namespace wagtailshore::map_coordinator {
namespace {

// The map in use and some that were prepared and given up since.
constexpr size_t kMapsKept = 4;

}  // namespace

void MapStock::Add(uint64_t version, std::shared_ptr<const GroupMap> map) {
  maps_[version] = std::move(map);
  if (maps_.size() > kMapsKept) {
    maps_.erase(maps_.begin());
  }
}

std::shared_ptr<const GroupMap> MapStock::Find(uint64_t version) const {
  const auto found = maps_.find(version);
  return found == maps_.end() ? nullptr : found->second;
}

}  // namespace wagtailshore::map_coordinator
