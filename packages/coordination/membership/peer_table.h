#ifndef COORDINATION_MEMBERSHIP_PEER_TABLE_H_
#define COORDINATION_MEMBERSHIP_PEER_TABLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/enum_names.h"
#include "common/time.h"

// The other processes with which this one exchanges control messages. Soft
// state: rebuilt from exchanges, and may be outdated or wrong.
namespace wagtailshore::membership {

enum class Role { kEntry, kEndpoint };

inline constexpr common::EnumNames<Role, 2> kRoleNames = {{
    {Role::kEntry, "entry"},
    {Role::kEndpoint, "endpoint"},
}};

// A process's description of itself.
struct PeerInfo {
  std::string name;
  // Distinguishes a process from earlier ones with the same name.
  std::string incarnation;
  Role role = Role::kEntry;
  std::string failure_domain;
  std::string peer_address;
  uint64_t manifest_version = 0;
  bool leaving = false;
  // Whether the platform answered the process's last read.
  bool sees_platform = true;
};

struct Peer {
  PeerInfo info;
  common::Time last_seen{};
  // Number of consecutive exchanges without an answer.
  uint32_t unanswered = 0;
  // When the peer first reported its current manifest version.
  common::Time version_since{};
};

// What changed with a message from a peer.
struct PeerChange {
  bool restarted = false;
  bool began_leaving = false;
};

class PeerTable {
 public:
  // Stores a peer's description of itself. A process that is leaving stays so;
  // only a new incarnation resets this.
  PeerChange OnPeerInfo(const PeerInfo& info, common::Time now);
  // Records that an exchange with `address` got no answer. Returns the number
  // of consecutive ones, or 0 for an unknown peer.
  uint32_t OnUnanswered(const std::string& address);

  // Adds addresses that may belong to peers.
  void AddSeeds(const std::vector<std::string>& addresses);
  const std::set<std::string>& seeds() const { return seeds_; }
  // Removes peers from which nothing was received for longer than `max_age`.
  void Expire(common::Time now, common::Duration max_age);

  // Keyed by peer address.
  const std::map<std::string, Peer>& peers() const { return peers_; }

 private:
  std::map<std::string, Peer> peers_;
  std::set<std::string> seeds_;
};

}  // namespace wagtailshore::membership

#endif  // COORDINATION_MEMBERSHIP_PEER_TABLE_H_
