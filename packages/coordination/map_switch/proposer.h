#ifndef COORDINATION_MAP_SWITCH_PROPOSER_H_
#define COORDINATION_MAP_SWITCH_PROPOSER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "common/enum_names.h"
#include "common/time.h"
#include "coordination/map_switch/messages.h"

namespace wagtailshore::map_switch {

struct ProposerOptions {
  int rank = 0;
  // Ranks in the group.
  int ranks = 1;
  // Steps between the furthest rank and the hold: enough for the promises and
  // the decision to pass while the group steps on.
  uint64_t lead_steps = 32;
  // How often a rank that has not answered is told again.
  common::Duration retry_interval = common::milliseconds(50);
  // How long the ranks may take to load.
  common::Duration prepare_timeout = common::seconds(10);
  // How long the ranks may take to promise; then those left are made to
  // refuse.
  common::Duration hold_timeout = common::milliseconds(500);
};

// How a proposal ended.
enum class ProposalResult {
  // Every rank uses the map from the hold's step on.
  kChosen,
  // A rank refused; the map in force stays.
  kDead,
  // A rank could not load in time; nobody was asked to hold.
  kNotLoaded,
};

inline constexpr common::EnumNames<ProposalResult, 3> kProposalResultNames = {{
    {ProposalResult::kChosen, "chosen"},
    {ProposalResult::kDead, "dead"},
    {ProposalResult::kNotLoaded, "not_loaded"},
}};

// A message's content and the rank that it goes to.
struct Outgoing {
  int to = 0;
  MessageBody body;
};

// Whether `rank` is the one to propose: the lowest live one. `live` is a hint;
// two proposers at once are harmless, as every ballot needs every rank.
bool IsProposer(int rank, const std::set<int>& live);

// Carries one proposal after another to all ranks, its own included. Keeps
// nothing that the ranks need: when it dies, they settle the ballot
// themselves. Pure.
class Proposer {
 public:
  explicit Proposer(const ProposerOptions& options) : options_(options) {}

  // `ballot` must be new, of a higher round than any seen. Ends the proposal
  // that is under way, if any.
  std::vector<Outgoing> Propose(const Ballot& ballot,
                                const MapId& map,
                                common::Time now);
  std::vector<Outgoing> OnMessage(const Message& message, common::Time now);
  std::vector<Outgoing> Tick(common::Time now);

  bool busy() const { return phase_ != Phase::kIdle; }
  // How the last proposal ended; nothing while the first is under way.
  const std::optional<ProposalResult>& result() const { return result_; }

 private:
  enum class Phase { kIdle, kPreparing, kHolding, kAsking };

  void OnPrepared(int from, const Prepared& prepared, common::Time now);
  void OnVote(int from, const VoteReply& reply);
  void End(ProposalResult result);
  MessageBody Request() const;
  // Tells the ranks that have not answered in this phase.
  std::vector<Outgoing> TellMissing(common::Time now);
  std::vector<Outgoing> TellAll(Vote vote) const;
  std::vector<Outgoing> AfterMessage(Phase before, common::Time now);

  ProposerOptions options_;
  Phase phase_ = Phase::kIdle;
  Ballot ballot_;
  MapId map_;
  uint64_t hold_step_ = 0;
  // The furthest rank's next step.
  uint64_t furthest_step_ = 0;
  std::set<int> answered_;
  common::Time phase_began_{};
  common::Time next_retry_{};
  std::optional<ProposalResult> result_;
};

}  // namespace wagtailshore::map_switch

#endif  // COORDINATION_MAP_SWITCH_PROPOSER_H_
