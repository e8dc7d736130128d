#ifndef PROTOCOL_COMPANION_MESSAGES_COMPANION_MESSAGES_H_
#define PROTOCOL_COMPANION_MESSAGES_COMPANION_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "coordination/map_coordinator/map_stock.h"
#include "coordination/map_coordinator/rank_orders.h"

// Messages between the companions of one lock-step group: MessagePack over
// HTTP, as requests from the coordinator to a companion and their replies.
namespace wagtailshore::companion_messages {

// HTTP paths that companions serve: the first two for the group's coordinator,
// the third for gateways that request the list of slow engines.
inline constexpr std::string_view kPollPath = "/rank";
inline constexpr std::string_view kOrderPath = "/order";
inline constexpr std::string_view kSlowEnginesPath = "/slow";

// Request for the state of a companion's engine.
struct Poll {
  // Fencing number of the requesting coordinator.
  uint64_t generation = 0;
  bool want_choices = false;
  bool want_map = false;
  // "IP:port" of the group's slow engines, which the companion passes on to
  // gateways.
  std::vector<std::string> slow_engines;
  // The store's era as the coordinator knows it, see store_era::StoreEra.
  // Companions that only the coordinator talks to notice by it that the store
  // has lost their entries.
  uint64_t store_era = 0;
};

// An engine's state, as its companion reads it.
struct RankState {
  std::string group;
  int rank = 0;
  int ranks = 0;
  // Duration of its work relative to the normal duration; 1 is normal.
  double pace = 1;
  map_coordinator::RankReport report;
  // How often each expert was chosen since the last report, ordered by layer
  // and then by expert.
  std::optional<std::vector<uint64_t>> choices;
  // This rank's experts in the current map, by layer.
  std::optional<std::vector<std::vector<int>>> experts;
};

std::string EncodePoll(const Poll& poll);
absl::StatusOr<Poll> DecodePoll(std::string_view text);

std::string EncodeRankState(const RankState& state);
absl::StatusOr<RankState> DecodeRankState(std::string_view text);

// A companion's reply to gateways: "IP:port" of the slow engines.
std::string EncodeSlowEngines(const std::vector<std::string>& engines);
absl::StatusOr<std::vector<std::string>> DecodeSlowEngines(
    std::string_view text);

// Encodes a complete map for use in orders, once for all ranks.
std::string EncodeMap(const map_coordinator::GroupMap& map);
// Encodes a map as changes to `base`, which the receiver has, in about three
// bytes for each changed expert. Both maps must list each rank's experts in
// ascending order. Returns an empty string if the maps' shapes differ.
std::string EncodeMapChanges(uint64_t base_version,
                             const map_coordinator::GroupMap& base,
                             const map_coordinator::GroupMap& map);
// `encoded_map` is the map of a PrepareMap, from EncodeMap() or
// EncodeMapChanges(), and is ignored for other orders.
std::string EncodeOrder(const map_coordinator::RankOrder& order,
                        const std::string& encoded_map);
// Returns FailedPrecondition if the order contains changes to a map that is not
// in `known`, or if applying them does not give the map that was sent. Returns
// InvalidArgument if the text is not an order.
absl::StatusOr<map_coordinator::RankOrder> DecodeOrder(
    std::string_view text,
    const map_coordinator::MapHistory& known);

// A companion's record in the store, by which other processes find it.
struct CompanionEntry {
  // "IP:port" of the companion and of its engine.
  std::string peer_address;
  std::string engine_address;
  std::string service;
};

std::string EncodeEntry(const CompanionEntry& entry);
absl::StatusOr<CompanionEntry> DecodeEntry(std::string_view text);

// The store's record of the companion that coordinates a group.
struct CoordinatorEntry {
  // Fencing number of the coordinator.
  uint64_t generation = 0;
  // "IP:port" of the coordinating companion.
  std::string peer_address;
};

std::string EncodeCoordinator(const CoordinatorEntry& entry);
absl::StatusOr<CoordinatorEntry> DecodeCoordinator(std::string_view text);

}  // namespace wagtailshore::companion_messages

#endif  // PROTOCOL_COMPANION_MESSAGES_COMPANION_MESSAGES_H_
