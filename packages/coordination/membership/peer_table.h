#ifndef COORDINATION_MEMBERSHIP_PEER_TABLE_H_
#define COORDINATION_MEMBERSHIP_PEER_TABLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/enum_names.h"
#include "common/time.h"

// The other processes that this one exchanges control messages with. Soft
// state: rebuilt from exchanges, allowed to be late or wrong.
namespace wagtailshore::membership {

enum class Role { kEntry, kEndpoint };

inline constexpr common::EnumNames<Role, 2> kRoleNames = {{
    {Role::kEntry, "entry"},
    {Role::kEndpoint, "endpoint"},
}};

// What a process says about itself.
struct PeerInfo {
  std::string name;
  // Distinguishes a process from an earlier one of the same name.
  std::string incarnation;
  Role role = Role::kEntry;
  std::string failure_domain;
  std::string peer_address;
  uint64_t manifest_version = 0;
  bool leaving = false;
  // Whether the platform answered the process last.
  bool sees_platform = true;
};

struct Peer {
  PeerInfo info;
  common::Time last_heard{};
  uint32_t unanswered = 0;
  // Since when the peer has told of its manifest version.
  common::Time version_since{};
};

// What changed with a word from a peer.
struct PeerChange {
  bool restarted = false;
  bool began_leaving = false;
};

class PeerTable {
 public:
  // Takes a peer's word about itself. A leaving process never un-leaves;
  // only a new incarnation of it starts afresh.
  PeerChange OnHeard(const PeerInfo& info, common::Time now);
  // An exchange with `address` got no answer; returns how many in a row.
  uint32_t OnUnanswered(const std::string& address);

  // Addresses that may be those of peers.
  void AddSeeds(const std::vector<std::string>& addresses);
  const std::set<std::string>& seeds() const { return seeds_; }
  // Forgets peers not heard for `horizon`.
  void Expire(common::Time now, common::Duration horizon);

  // Keyed by peer address.
  const std::map<std::string, Peer>& peers() const { return peers_; }

 private:
  std::map<std::string, Peer> peers_;
  std::set<std::string> seeds_;
};

}  // namespace wagtailshore::membership

#endif  // COORDINATION_MEMBERSHIP_PEER_TABLE_H_
