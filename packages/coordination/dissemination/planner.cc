#include "coordination/dissemination/planner.h"

#include <algorithm>
#include <utility>

namespace wagtailshore::dissemination {
namespace {

using membership::Peer;
using membership::Role;

// An entry not heard for this long is no relay any more.
constexpr common::Duration kLiveHorizon = common::seconds(2);
// Time between exchanges of entries, beyond the direct limit.
constexpr common::Duration kEntryPeriod = common::seconds(1);
// Time between sends of news that a peer has not confirmed.
constexpr common::Duration kRetryPeriod = common::milliseconds(200);
// Time between exchanges with a peer that does not answer.
constexpr common::Duration kUnansweredPeriod = common::seconds(1);
// Time between probes of addresses that nothing is known of, and how many
// addresses at a time.
constexpr common::Duration kProbePeriod = common::milliseconds(500);
constexpr size_t kProbes = 1;
constexpr size_t kHurriedProbes = 10;
// Time between reads of the platform by an entry that is not the relay.
constexpr common::Duration kIdlePollPeriod = common::seconds(10);
// Exchanges a second that an entry spends on its domain's endpoints.
constexpr int64_t kEndpointExchangesPerSecond = 24;
// Entries of its own domain that an entry exchanges with, the relay first.
constexpr size_t kOwnRelays = 3;
// Relays of another domain that a relay exchanges with.
constexpr size_t kForeignRelays = 1;
// Entries asked of a domain in which none answers.
constexpr size_t kSilentRelays = 3;
// Unanswered exchanges after which a peer counts as unreachable.
constexpr uint32_t kMaxUnanswered = 3;
constexpr size_t kMaxNamedEntries = 8;

bool IsLiveEntry(const Peer& peer, const Situation& situation) {
  return peer.info.role == Role::kEntry && !peer.info.leaving &&
         peer.unanswered < kMaxUnanswered &&
         situation.now - peer.last_heard <= kLiveHorizon;
}

bool IsOlder(const std::string& address, const Situation& situation) {
  const auto found = situation.peers.peers().find(address);
  return found != situation.peers.peers().end() &&
         found->second.unanswered < kMaxUnanswered &&
         found->second.info.manifest_version < situation.version;
}

// The few of `entries` that were heard last: asked while a whole failure
// domain is silent, so that both sides meet again once a cut heals.
std::vector<std::string> LastHeard(std::vector<const Peer*> entries) {
  const size_t count = std::min(entries.size(), kSilentRelays);
  std::partial_sort(entries.begin(),
                    entries.begin() + static_cast<ptrdiff_t>(count),
                    entries.end(), [](const Peer* left, const Peer* right) {
                      return left->last_heard > right->last_heard;
                    });
  std::vector<std::string> addresses;
  for (size_t i = 0; i < count; ++i) {
    addresses.push_back(entries[i]->info.peer_address);
  }
  return addresses;
}

}  // namespace

Planner::Planner(PlannerOptions options) : options_(std::move(options)) {}

Actions Planner::OnTick(const Situation& situation) {
  Actions actions;
  const bool is_entry = options_.role == Role::kEntry;
  const bool relay = is_entry && IsRelay(situation);
  const Partners partners = is_entry ? PartnersOfEntry(situation, relay)
                                     : PartnersOfEndpoint(situation);
  for (const auto& [address, period] : partners) {
    const bool hand_over = relay && IsOlder(address, situation);
    const bool news =
        hand_over || (situation.leaving && !told_leaving_.contains(address));
    if (IsDue(address, news ? std::min(kRetryPeriod, period) : period, news,
              situation)) {
      Send(address, hand_over, situation, actions);
    }
  }
  const bool alone = situation.version == 0 || !ReachesAny(partners, situation);
  if (is_entry || alone) {
    AddUnknown(situation, relay || alone, actions);
  }
  if (is_entry) {
    AddPlatformRead(situation, relay, actions);
  }
  std::erase_if(last_sent_, [&](const auto& item) {
    return situation.now - item.second > common::seconds(60);
  });
  return actions;
}

Actions Planner::OnLearned(Source source, const Situation& situation) {
  Actions actions;
  std::set<std::string> targets;
  const bool relay = options_.role == Role::kEntry && IsRelay(situation);
  if (relay) {
    targets = OwnDomain(situation);
  }
  if (relay || source == Source::kOrigin) {
    for (const auto& relays :
         {OwnRelays(situation, kOwnRelays), ForeignRelays(situation)}) {
      targets.insert(relays.begin(), relays.end());
    }
  }
  targets.erase(options_.address);
  for (const std::string& address : targets) {
    Send(address, IsOlder(address, situation), situation, actions);
  }
  return actions;
}

Actions Planner::OnOwnDigestChanged(const Situation& situation) {
  Actions actions;
  if (IsDirect(situation) || !IsRelay(situation)) {
    return actions;
  }
  for (const std::string& address : ForeignRelays(situation)) {
    Send(address, /*with_manifest=*/false, situation, actions);
  }
  return actions;
}

Actions Planner::OnForeignDigestChanged(const Situation& situation) {
  Actions actions;
  if (!IsRelay(situation)) {
    return actions;
  }
  for (const auto& [address, peer] : situation.peers.peers()) {
    if (peer.info.failure_domain == options_.failure_domain &&
        IsLiveEntry(peer, situation)) {
      Send(address, /*with_manifest=*/false, situation, actions);
    }
  }
  return actions;
}

Actions Planner::OnLeaving(const Situation& situation) {
  told_leaving_.clear();
  Actions actions;
  for (const auto& [address, peer] : situation.peers.peers()) {
    if (peer.info.role == Role::kEntry) {
      Send(address, /*with_manifest=*/false, situation, actions);
    }
  }
  return actions;
}

void Planner::OnLeavingAnswered(const std::string& address) {
  told_leaving_.insert(address);
}

bool Planner::IsRelay(const Situation& situation) {
  const auto relays = OwnRelays(situation, 1);
  return !relays.empty() && relays.front() == options_.address;
}

std::vector<std::string> Planner::EntriesToName(const Situation& situation) {
  std::vector<std::string> entries;
  for (const auto& [address, peer] : situation.peers.peers()) {
    if (peer.info.role == Role::kEntry && !peer.info.leaving) {
      entries.push_back(address);
    }
  }
  if (entries.size() <= kMaxNamedEntries) {
    return entries;
  }
  next_named_ %= entries.size();
  std::rotate(entries.begin(),
              entries.begin() + static_cast<ptrdiff_t>(next_named_),
              entries.end());
  entries.resize(kMaxNamedEntries);
  next_named_ += kMaxNamedEntries;
  return entries;
}

bool Planner::IsDirect(const Situation& situation) const {
  size_t members = situation.endpoints.size();
  for (const auto& [address, peer] : situation.peers.peers()) {
    members += situation.endpoints.contains(address) ? 0 : 1;
  }
  return members <= options_.direct_limit;
}

std::vector<std::string> Planner::RelayCandidates(
    const std::string& failure_domain,
    const Situation& situation) const {
  std::vector<std::string> live;
  std::vector<std::string> with_platform;
  const auto add = [&](const std::string& address, bool sees_platform) {
    live.push_back(address);
    if (sees_platform) {
      with_platform.push_back(address);
    }
  };
  if (failure_domain == options_.failure_domain && !situation.leaving &&
      options_.role == Role::kEntry) {
    add(options_.address, situation.sees_platform);
  }
  for (const auto& [address, peer] : situation.peers.peers()) {
    if (peer.info.failure_domain == failure_domain &&
        IsLiveEntry(peer, situation)) {
      add(address, peer.info.sees_platform);
    }
  }
  return with_platform.empty() ? live : with_platform;
}

std::vector<std::string> Planner::OwnRelays(const Situation& situation,
                                            size_t count) {
  return rank_.Top(options_.failure_domain,
                   RelayCandidates(options_.failure_domain, situation), count);
}

std::vector<std::string> Planner::ForeignRelays(const Situation& situation) {
  // Entries of another domain are heard seldom, so each known one counts.
  std::map<std::string, std::vector<const Peer*>> by_domain;
  for (const auto& [address, peer] : situation.peers.peers()) {
    if (peer.info.role == Role::kEntry && !peer.info.leaving &&
        peer.info.failure_domain != options_.failure_domain) {
      by_domain[peer.info.failure_domain].push_back(&peer);
    }
  }
  std::vector<std::string> relays;
  for (auto& [failure_domain, entries] : by_domain) {
    std::vector<std::string> answering;
    for (const Peer* peer : entries) {
      if (peer->unanswered < kMaxUnanswered) {
        answering.push_back(peer->info.peer_address);
      }
    }
    for (const std::string& relay :
         answering.empty()
             ? LastHeard(std::move(entries))
             : rank_.Top(failure_domain, answering, kForeignRelays)) {
      relays.push_back(relay);
    }
  }
  return relays;
}

std::set<std::string> Planner::OwnDomain(const Situation& situation) const {
  std::set<std::string> members;
  for (const auto& [address, failure_domain] : situation.endpoints) {
    if (failure_domain == options_.failure_domain) {
      members.insert(address);
    }
  }
  for (const auto& [address, peer] : situation.peers.peers()) {
    if (peer.info.failure_domain == options_.failure_domain) {
      members.insert(address);
    }
  }
  return members;
}

Planner::Partners Planner::PartnersOfEntry(const Situation& situation,
                                           bool relay) {
  Partners partners;
  if (IsDirect(situation)) {
    for (const auto& [address, failure_domain] : situation.endpoints) {
      partners[address] = options_.exchange_period;
    }
    for (const auto& [address, peer] : situation.peers.peers()) {
      partners[address] = options_.exchange_period;
    }
    partners.erase(options_.address);
    return partners;
  }
  const common::Duration entry_period =
      std::max(options_.exchange_period, kEntryPeriod);
  const std::set<std::string> own_domain = OwnDomain(situation);
  const common::Duration endpoint_period = std::max<common::Duration>(
      options_.exchange_period,
      common::milliseconds(1000 * static_cast<int64_t>(own_domain.size()) /
                           kEndpointExchangesPerSecond));
  for (const std::string& address : own_domain) {
    const auto peer = situation.peers.peers().find(address);
    const bool is_entry = peer != situation.peers.peers().end() &&
                          peer->second.info.role == Role::kEntry;
    if (!is_entry) {
      partners[address] = endpoint_period;
    } else if (relay && IsOlder(address, situation)) {
      partners[address] = entry_period;
    }
  }
  for (const std::string& address : OwnRelays(situation, kOwnRelays)) {
    partners[address] = entry_period;
  }
  if (relay) {
    for (const std::string& address : ForeignRelays(situation)) {
      partners[address] = entry_period;
    }
  }
  partners.erase(options_.address);
  return partners;
}

Planner::Partners Planner::PartnersOfEndpoint(
    const Situation& situation) const {
  // Entries ask endpoints; an endpoint speaks first only to an entry that has
  // not asked for a while.
  constexpr int kPatience = 3;
  const bool direct = IsDirect(situation);
  const auto own = static_cast<int64_t>(OwnDomain(situation).size());
  const common::Duration period =
      direct ? options_.exchange_period * 2
             : std::max<common::Duration>(
                   options_.exchange_period,
                   common::milliseconds(1000 * own /
                                        kEndpointExchangesPerSecond)) *
                   kPatience;
  Partners partners;
  for (const auto& [address, peer] : situation.peers.peers()) {
    const bool near = peer.info.failure_domain == options_.failure_domain;
    if (peer.info.role == Role::kEntry && (direct || near)) {
      partners[address] = period;
    }
  }
  return partners;
}

void Planner::AddUnknown(const Situation& situation,
                         bool hurry,
                         Actions& actions) {
  if (situation.now - last_probe_ < kProbePeriod) {
    return;
  }
  last_probe_ = situation.now;
  // Longest-waiting first, so that dead addresses do not hide live ones.
  std::vector<std::pair<common::Time, std::string>> unknown;
  for (const std::string& address : situation.peers.seeds()) {
    if (address == options_.address ||
        situation.peers.peers().contains(address)) {
      continue;
    }
    const auto sent = last_sent_.find(address);
    unknown.emplace_back(
        sent == last_sent_.end() ? common::Time{} : sent->second, address);
  }
  const size_t count =
      std::min(unknown.size(), hurry ? kHurriedProbes : kProbes);
  std::partial_sort(unknown.begin(),
                    unknown.begin() + static_cast<ptrdiff_t>(count),
                    unknown.end());
  for (size_t i = 0; i < count; ++i) {
    Send(unknown[i].second, /*with_manifest=*/false, situation, actions);
  }
}

void Planner::AddPlatformRead(const Situation& situation,
                              bool relay,
                              Actions& actions) {
  const common::Duration period =
      relay || situation.version == 0 ? options_.poll_period : kIdlePollPeriod;
  const bool never_read = last_read_ == common::Time{};
  if (reading_ || (!never_read && situation.now - last_read_ < period)) {
    return;
  }
  last_read_ = situation.now;
  reading_ = true;
  actions.push_back(ReadPlatform{});
}

bool Planner::ReachesAny(const Partners& partners,
                         const Situation& situation) const {
  const auto& peers = situation.peers.peers();
  return std::any_of(partners.begin(), partners.end(), [&](const auto& item) {
    const auto peer = peers.find(item.first);
    return peer != peers.end() && peer->second.unanswered < kMaxUnanswered;
  });
}

bool Planner::IsDue(const std::string& address,
                    common::Duration period,
                    bool news,
                    const Situation& situation) const {
  common::Time last{};
  const auto sent = last_sent_.find(address);
  if (sent != last_sent_.end()) {
    last = sent->second;
  }
  const auto peer = situation.peers.peers().find(address);
  if (peer != situation.peers.peers().end()) {
    if (!news) {
      last = std::max(last, peer->second.last_heard);
    }
    if (peer->second.unanswered >= kMaxUnanswered) {
      period = std::max(period, kUnansweredPeriod);
    }
  }
  return last == common::Time{} || situation.now - last >= period;
}

void Planner::Send(const std::string& address,
                   bool with_manifest,
                   const Situation& situation,
                   Actions& actions) {
  last_sent_[address] = situation.now;
  actions.push_back(
      SendExchange{.address = address, .with_manifest = with_manifest});
}

}  // namespace wagtailshore::dissemination
