#ifndef COORDINATION_MAP_COORDINATOR_MAP_STOCK_H_
#define COORDINATION_MAP_COORDINATOR_MAP_STOCK_H_

#include <cstdint>
#include <map>
#include <memory>

#include "coordination/map_coordinator/rank_orders.h"

namespace wagtailshore::map_coordinator {

// The latest maps of a group, so that the next one can be sent as a difference
// to one of them.
class MapHistory {
 public:
  void Add(uint64_t version, std::shared_ptr<const GroupMap> map);
  // Returns null if the map is not kept.
  std::shared_ptr<const GroupMap> Find(uint64_t version) const;

 private:
  std::map<uint64_t, std::shared_ptr<const GroupMap>> maps_;
};

}  // namespace wagtailshore::map_coordinator

#endif  // COORDINATION_MAP_COORDINATOR_MAP_STOCK_H_
