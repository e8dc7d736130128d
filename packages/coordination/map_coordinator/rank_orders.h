#ifndef COORDINATION_MAP_COORDINATOR_RANK_ORDERS_H_
#define COORDINATION_MAP_COORDINATOR_RANK_ORDERS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "common/enum_names.h"

// Reports of a lock-step group's ranks about their expert maps, and the orders
// that change the maps. An order without an answer may have been carried out,
// or may be carried out seconds later.
namespace wagtailshore::map_coordinator {

// The experts of each rank, indexed by layer, then rank.
using GroupMap = std::vector<std::vector<std::vector<int>>>;

// A map that a rank switches to when `step` begins.
struct ArmedMap {
  uint64_t version = 0;
  uint64_t step = 0;

  bool operator==(const ArmedMap&) const = default;
};

struct RankReport {
  // Incarnation of the group. A group that lost a rank re-forms with the first
  // map and nothing prepared, armed or held.
  uint64_t epoch = 0;
  bool open = false;
  // The last step that has begun.
  uint64_t step = 0;
  uint64_t map_version = 0;
  // Version of a map whose experts are all loaded at the rank.
  std::optional<uint64_t> prepared;
  std::optional<ArmedMap> armed;
  // The group does not begin this step until it is released.
  std::optional<uint64_t> held_step;

  bool operator==(const RankReport&) const = default;
};

// Copies the experts that the map adds at the rank.
struct PrepareMap {
  uint64_t version = 0;
  std::shared_ptr<const GroupMap> map;
};
struct ArmMap {
  uint64_t version = 0;
  uint64_t step = 0;
};
struct DisarmMap {
  uint64_t version = 0;
};
struct HoldStep {
  uint64_t step = 0;
};
struct ReleaseStep {
  uint64_t step = 0;
};

using OrderBody =
    std::variant<PrepareMap, ArmMap, DisarmMap, HoldStep, ReleaseStep>;

struct RankOrder {
  // Unique among the orders of one coordinator.
  uint64_t id = 0;
  int rank = 0;
  uint64_t epoch = 0;
  // Fencing number: ranks refuse orders with a lower one than they have seen.
  uint64_t generation = 0;
  OrderBody body;
};

enum class OrderOutcome {
  // Begun or, for orders that take effect at once, done.
  kAccepted,
  // Not possible in the rank's current state; not carried out.
  kConflict,
  // Another coordinator has a higher fencing number.
  kFenced,
  // Refused for another reason, and not carried out.
  kRefused,
  // No answer; the order may still be carried out.
  kUnknown,
};

inline constexpr common::EnumNames<OrderOutcome, 5> kOrderOutcomeNames = {{
    {OrderOutcome::kAccepted, "accepted"},
    {OrderOutcome::kConflict, "conflict"},
    {OrderOutcome::kFenced, "fenced"},
    {OrderOutcome::kRefused, "refused"},
    {OrderOutcome::kUnknown, "unknown"},
}};

}  // namespace wagtailshore::map_coordinator

#endif  // COORDINATION_MAP_COORDINATOR_RANK_ORDERS_H_
