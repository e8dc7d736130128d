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

// Decides how news of manifests and members travels: whom a process exchanges
// control messages with, when it hands a manifest over, and when it reads the
// platform. Pure.
namespace wagtailshore::dissemination {

struct PlannerOptions {
  std::string address;
  std::string failure_domain;
  membership::Role role = membership::Role::kEntry;
  // Least time between exchanges with one peer.
  common::Duration exchange_period = common::milliseconds(500);
  // Time between a relay's reads of the platform.
  common::Duration poll_period = common::seconds(1);
  // Up to this many members, an entry exchanges with every other member;
  // beyond it, with its own failure domain, and relays with one another.
  size_t direct_limit = 48;
};

// What the process knows when it decides.
struct Situation {
  const membership::PeerTable& peers;
  // Failure domains of the manifest's endpoints, by peer address.
  const std::map<std::string, std::string>& endpoints;
  // Version in force here; 0 without one.
  uint64_t version = 0;
  bool leaving = false;
  // Whether the platform answered this process last.
  bool sees_platform = true;
  common::Time now{};
};

// Send this process's word to `address`.
struct SendExchange {
  std::string address;
  // Hand the manifest in force over with it.
  bool with_manifest = false;
};

// Read the manifest row and the instance list.
struct ReadPlatform {};

using Action = std::variant<SendExchange, ReadPlatform>;
using Actions = std::vector<Action>;

// Where a newer manifest was learned.
enum class Source {
  kPeer,
  // From the platform, or by accepting a submission.
  kOrigin,
};

class Planner {
 public:
  explicit Planner(PlannerOptions options);

  // Whatever is due; called every kTickPeriod.
  Actions OnTick(const Situation& situation);
  // A newer manifest came into force here.
  Actions OnLearned(Source source, const Situation& situation);
  // An endpoint of the own failure domain began to leave.
  Actions OnOwnDigestChanged(const Situation& situation);
  // Another failure domain's digest tells of other leaving endpoints.
  Actions OnForeignDigestChanged(const Situation& situation);
  // This process began to leave.
  Actions OnLeaving(const Situation& situation);
  // `address` answered an exchange that told it of the leaving.
  void OnLeavingAnswered(const std::string& address);
  // The answer to a ReadPlatform came or was given up on.
  void OnPlatformRead() { reading_ = false; }

  // Whether this process reads the platform for its failure domain. Two that
  // hold themselves for the relay only read and send twice.
  bool IsRelay(const Situation& situation);

  // Whether there are few enough members for everybody to hear everybody.
  bool IsDirect(const Situation& situation) const;

  // Peer addresses of entries to name in an exchange: a few at a time, in
  // turn, so that the message stays small.
  std::vector<std::string> EntriesToName(const Situation& situation);

 private:
  // The time between exchanges, by peer address.
  using Partners = std::map<std::string, common::Duration>;

  // Entries of `failure_domain` that can relay: live, and with a view of the
  // platform if any has one. Includes this process.
  std::vector<std::string> RelayCandidates(const std::string& failure_domain,
                                           const Situation& situation) const;
  std::vector<std::string> OwnRelays(const Situation& situation, size_t count);
  std::vector<std::string> ForeignRelays(const Situation& situation);
  // Everybody of this process's own failure domain.
  std::set<std::string> OwnDomain(const Situation& situation) const;

  Partners PartnersOfEntry(const Situation& situation, bool relay);
  Partners PartnersOfEndpoint(const Situation& situation) const;
  void AddUnknown(const Situation& situation, bool hurry, Actions& actions);
  void AddPlatformRead(const Situation& situation,
                       bool relay,
                       Actions& actions);
  // Whether any of `partners` answers.
  bool ReachesAny(const Partners& partners, const Situation& situation) const;
  // Whether `address` was last sent to (or, unless there is news for it, heard
  // from) at least `period` ago.
  bool IsDue(const std::string& address,
             common::Duration period,
             bool news,
             const Situation& situation) const;
  void Send(const std::string& address,
            bool with_manifest,
            const Situation& situation,
            Actions& actions);

  PlannerOptions options_;
  RelayRank rank_;
  std::map<std::string, common::Time> last_sent_;
  common::Time last_probe_{};
  common::Time last_read_{};
  bool reading_ = false;
  // Peers that confirmed that this process is leaving.
  std::set<std::string> told_leaving_;
  size_t next_named_ = 0;
};

// Time between two calls of Planner::OnTick().
inline constexpr common::Duration kTickPeriod = common::milliseconds(100);

}  // namespace wagtailshore::dissemination

#endif  // COORDINATION_DISSEMINATION_PLANNER_H_
