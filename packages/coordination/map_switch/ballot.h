#ifndef COORDINATION_MAP_SWITCH_BALLOT_H_
#define COORDINATION_MAP_SWITCH_BALLOT_H_

#include <compare>
#include <cstdint>
#include <string>

// The values that a switch of a group's expert map is agreed on.
namespace wagtailshore::map_switch {

// Names one proposal. Unique: a process never proposes twice in one round, and
// no two processes of a rank have the same fencing number.
struct Ballot {
  uint64_t round = 0;
  int rank = 0;
  // Fencing number of the proposing process.
  uint64_t fencing_number = 0;

  // clang-tidy 14 takes the comparison's literal zero for a pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Ballot&) const = default;
};

// An expert map by name; its content travels beside the ballot.
struct MapId {
  uint64_t version = 0;
  // SHA-256 of the content, hexadecimal.
  std::string digest;

  bool operator==(const MapId&) const = default;
};

}  // namespace wagtailshore::map_switch

#endif  // COORDINATION_MAP_SWITCH_BALLOT_H_
