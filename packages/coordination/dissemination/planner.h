#ifndef COORDINATION_DISSEMINATION_PLANNER_H_
#define COORDINATION_DISSEMINATION_PLANNER_H_

#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "common/time.h"
#include "coordination/dissemination/relay_rank.h"
#include "coordination/membership/peer_table.h"

// Decides how manifests and membership are disseminated: with which peers a
// process exchanges control messages, when it sends them the manifest, and when
// it reads the platform. Does no I/O.
namespace wagtailshore::dissemination {

struct PlannerOptions {
  std::string address;
  std::string failure_domain;
  membership::Role role = membership::Role::kEntry;
  // Shortest time between exchanges with one peer.
  common::Duration exchange_period = common::milliseconds(500);
  // Time between a relay's reads of the platform.
  common::Duration poll_period = common::seconds(1);
  // Up to this many members, an entry exchanges with every other member. With
  // more, it exchanges with its own failure domain, and relays also with one
  // another.
  size_t direct_limit = 48;
};

// The knowledge of the process on which decisions are based.
struct PlannerInput {
  const membership::PeerTable& peers;
  // Failure domains of the manifest's endpoints, by peer address.
  const std::map<std::string, std::string>& endpoints;
  // Manifest version in force here; 0 without a manifest.
  uint64_t version = 0;
  bool leaving = false;
  // Whether the platform answered this process's last read.
  bool sees_platform = true;
  common::Time now{};
};

// Send an exchange request to `address`.
struct SendExchange {
  std::string address;
  // Whether to include the manifest in force.
  bool with_manifest = false;
};

// Read the manifest row and the instance list.
struct ReadPlatform {};

using Action = std::variant<SendExchange, ReadPlatform>;
using Actions = std::vector<Action>;

// Where a newer manifest came from.
enum class Source {
  kPeer,
  // Read from the platform, or submitted here and accepted by it.
  kPlatform,
};

class Planner {
 public:
  explicit Planner(PlannerOptions options);

  // Returns the actions that are due. To be called every kTickPeriod.
  Actions OnTick(const PlannerInput& input);
  // Handles that a newer manifest came into force here.
  Actions OnNewManifest(Source source, const PlannerInput& input);
  // Handles that an endpoint of this failure domain began to leave.
  Actions OnOwnDomainDigestChanged(const PlannerInput& input);
  // Handles that the leaving endpoints in another failure domain's digest
  // changed.
  Actions OnOtherDomainDigestChanged(const PlannerInput& input);
  // Handles that this process began to leave.
  Actions OnLeaving(const PlannerInput& input);
  // Handles that `address` answered an exchange that announced the leaving.
  void OnLeavingConfirmed(const std::string& address);
  // Handles the end of a ReadPlatform, with or without an answer.
  void OnPlatformRead() { reading_ = false; }

  // Whether this process is the relay of its failure domain: the one that reads
  // the platform for it. If two processes both act as relay, the only effect is
  // duplicate reads and messages.
  bool IsRelay(const PlannerInput& input);

  // Whether there are few enough members for entries to exchange with all of
  // them.
  bool IsDirect(const PlannerInput& input) const;

  // Returns peer addresses of entries to include in an exchange: a few at a
  // time, in turn, so that the message stays small.
  std::vector<std::string> EntriesToShare(const PlannerInput& input);

 private:
  // Time between exchanges, by peer address.
  using Partners = std::map<std::string, common::Duration>;

  // Returns the entries of `failure_domain` that can be the relay: the live
  // ones that reach the platform, or all live ones if none does. May include
  // this process.
  std::vector<std::string> RelayCandidates(const std::string& failure_domain,
                                           const PlannerInput& input) const;
  std::vector<std::string> OwnDomainRelays(const PlannerInput& input,
                                           size_t count);
  std::vector<std::string> OtherDomainRelays(const PlannerInput& input);
  // Returns the peer addresses of all known members of this failure domain.
  std::set<std::string> OwnDomainMembers(const PlannerInput& input) const;

  Partners PartnersOfEntry(const PlannerInput& input, bool relay);
  Partners PartnersOfEndpoint(const PlannerInput& input) const;
  void AddProbes(const PlannerInput& input, bool fast, Actions& actions);
  void AddPlatformRead(const PlannerInput& input, bool relay, Actions& actions);
  // Whether any of `partners` answers.
  bool ReachesAny(const Partners& partners, const PlannerInput& input) const;
  // Whether the last request to `address` was sent at least `period` ago.
  // Without an update for it, the last message from it counts as well.
  bool IsDue(const std::string& address,
             common::Duration period,
             bool has_update,
             const PlannerInput& input) const;
  void Send(const std::string& address,
            bool with_manifest,
            const PlannerInput& input,
            Actions& actions);

  PlannerOptions options_;
  RelayRank rank_;
  std::map<std::string, common::Time> last_sent_;
  common::Time last_probe_{};
  common::Time last_read_{};
  bool reading_ = false;
  // Addresses of peers that know that this process is leaving.
  std::set<std::string> leaving_confirmed_by_;
  size_t next_shared_ = 0;
};

// Time between two calls of Planner::OnTick().
inline constexpr common::Duration kTickPeriod = common::milliseconds(100);

}  // namespace wagtailshore::dissemination

#endif  // COORDINATION_DISSEMINATION_PLANNER_H_
