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

// What the companions of one lock-step group tell each other: MessagePack over
// HTTP, all from the coordinator to a companion and back.
namespace wagtailshore::companion_messages {

// The paths that companions answer on: to the group's coordinator, and to
// gateways that ask which engines are slow.
inline constexpr std::string_view kPollPath = "/rank";
inline constexpr std::string_view kOrderPath = "/order";
inline constexpr std::string_view kSlowEnginesPath = "/slow";

// Asks a companion for what its engine says.
struct Poll {
  // Fencing number of the coordinator that asks.
  uint64_t generation = 0;
  bool want_choices = false;
  bool want_map = false;
  // "IP:port" of the group's engines that are slow, for gateways that ask.
  std::vector<std::string> slow_engines;
};

// What an engine says, read by the companion beside it.
struct RankState {
  std::string group;
  int rank = 0;
  int ranks = 0;
  // Times that its work takes longer than it should; 1 in health.
  double pace = 1;
  map_coordinator::RankReport report;
  // Choices of each expert since they were last told, by layer and then expert.
  std::optional<std::vector<uint64_t>> choices;
  // This rank's experts by layer, of the map in use.
  std::optional<std::vector<std::vector<int>>> experts;
};

std::string EncodePoll(const Poll& poll);
absl::StatusOr<Poll> DecodePoll(std::string_view text);

std::string EncodeRankState(const RankState& state);
absl::StatusOr<RankState> DecodeRankState(std::string_view text);

// What a companion answers to gateways: "IP:port" of engines.
std::string EncodeSlowEngines(const std::vector<std::string>& engines);
absl::StatusOr<std::vector<std::string>> DecodeSlowEngines(
    std::string_view text);

// A map as it stands in an order; encoded once for all ranks.
std::string EncodeMap(const map_coordinator::GroupMap& map);
// The same by what differs from a map that the receiver has, in about three
// bytes an expert; both maps list each rank's experts in rising order. Empty
// when the maps are of different shapes.
std::string EncodeMapChanges(uint64_t base_version,
                             const map_coordinator::GroupMap& base,
                             const map_coordinator::GroupMap& map);
// `encoded_map` is that of a PrepareMap, whole or as changes, and empty for
// other orders.
std::string EncodeOrder(const map_coordinator::RankOrder& order,
                        const std::string& encoded_map);
// FailedPrecondition when the order tells changes of a map that is not in
// `known` or leads to another map there; InvalidArgument when it is no order.
absl::StatusOr<map_coordinator::RankOrder> DecodeOrder(
    std::string_view text,
    const map_coordinator::MapHistory& known);

// What a companion keeps in the store for the others to find it.
struct CompanionEntry {
  // "IP:port" of the companion and of its engine.
  std::string peer_address;
  std::string engine_address;
  std::string service;
};

std::string EncodeEntry(const CompanionEntry& entry);
absl::StatusOr<CompanionEntry> DecodeEntry(std::string_view text);

// Who coordinates a group.
struct CoordinatorEntry {
  uint64_t generation = 0;
  std::string peer_address;
};

std::string EncodeCoordinator(const CoordinatorEntry& entry);
absl::StatusOr<CoordinatorEntry> DecodeCoordinator(std::string_view text);

}  // namespace wagtailshore::companion_messages

#endif  // PROTOCOL_COMPANION_MESSAGES_COMPANION_MESSAGES_H_
