#ifndef COORDINATION_MAP_SWITCH_BALLOT_H_
#define COORDINATION_MAP_SWITCH_BALLOT_H_

#include <compare>
#include <cstdint>
#include <string>

// Identifiers on which the ranks of a group agree when they switch the expert
// map.
namespace wagtailshore::map_switch {

// Identifies one proposal. Unique, because a process never proposes twice in
// one round, and no two processes of a rank have the same fencing number.
struct Ballot {
  uint64_t round = 0;
  int rank = 0;
  // Fencing number of the proposing process.
  uint64_t fencing_number = 0;

  // clang-tidy 14 takes the comparison's literal zero for a pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Ballot&) const = default;
};

// Identifies an expert map; its content is transferred separately.
struct MapId {
  uint64_t version = 0;
  // SHA-256 of the content, hexadecimal.
  std::string digest;

  bool operator==(const MapId&) const = default;
};

}  // namespace wagtailshore::map_switch

#endif  // COORDINATION_MAP_SWITCH_BALLOT_H_
