#include "coordination/dissemination/planner.h"

#include <algorithm>
#include <utility>

namespace wagtailshore::dissemination {
namespace {

using membership::Peer;
using membership::Role;

// An entry from which nothing was received for longer than this cannot be
// the relay.
constexpr common::Duration kLiveEntryExpiry = common::seconds(2);
// Shortest time between two exchanges with an entry, beyond the direct limit.
constexpr common::Duration kEntryPeriod = common::seconds(1);
// Time between sends of an update that a peer has not confirmed.
constexpr common::Duration kRetryPeriod = common::milliseconds(200);
// Time between exchanges with a peer that does not answer.
constexpr common::Duration kUnansweredPeriod = common::seconds(1);
// Time between probes of addresses from which nothing was received, and how
// many addresses are probed at a time.
constexpr common::Duration kProbePeriod = common::milliseconds(500);
constexpr size_t kProbesPerPeriod = 1;
constexpr size_t kFastProbesPerPeriod = 10;
// Time between reads of the platform by an entry that is not the relay.
constexpr common::Duration kNonRelayPollPeriod = common::seconds(10);
// Exchanges per second of an entry with all members of its failure domain.
constexpr int64_t kEndpointExchangesPerSecond = 24;
// Number of entries of its own domain, the relay first, with which an entry
// exchanges.
constexpr size_t kOwnDomainRelays = 3;
// Number of entries of each other domain with which a relay exchanges.
constexpr size_t kRelaysPerOtherDomain = 1;
// Number of entries to contact in another domain in which none answers.
constexpr size_t kSilentDomainEntries = 3;
// Consecutive unanswered exchanges after which a peer counts as unreachable.
constexpr uint32_t kMaxUnanswered = 3;
constexpr size_t kMaxSharedEntries = 8;

bool IsLiveEntry(const Peer& peer, const PlannerInput& input) {
  return peer.info.role == Role::kEntry && !peer.info.leaving &&
         peer.unanswered < kMaxUnanswered &&
         input.now - peer.last_seen <= kLiveEntryExpiry;
}

bool HasOlderManifest(const std::string& address, const PlannerInput& input) {
  const auto found = input.peers.peers().find(address);
  return found != input.peers.peers().end() &&
         found->second.unanswered < kMaxUnanswered &&
         found->second.info.manifest_version < input.version;
}

// Returns the few of `entries` that were seen last. They are contacted while a
// whole failure domain does not answer, so that both sides reconnect after a
// network partition.
std::vector<std::string> MostRecentlySeen(std::vector<const Peer*> entries) {
  const size_t count = std::min(entries.size(), kSilentDomainEntries);
  std::partial_sort(entries.begin(),
                    entries.begin() + static_cast<ptrdiff_t>(count),
                    entries.end(), [](const Peer* left, const Peer* right) {
                      return left->last_seen > right->last_seen;
                    });
  std::vector<std::string> addresses;
  for (size_t i = 0; i < count; ++i) {
    addresses.push_back(entries[i]->info.peer_address);
  }
  return addresses;
}

}  // namespace

Planner::Planner(PlannerOptions options) : options_(std::move(options)) {}

Actions Planner::OnTick(const PlannerInput& input) {
  Actions actions;
  const bool is_entry = options_.role == Role::kEntry;
  const bool relay = is_entry && IsRelay(input);
  const Partners partners =
      is_entry ? PartnersOfEntry(input, relay) : PartnersOfEndpoint(input);
  for (const auto& [address, period] : partners) {
    const bool send_manifest = relay && HasOlderManifest(address, input);
    const bool has_update =
        send_manifest ||
        (input.leaving && !leaving_confirmed_by_.contains(address));
    if (IsDue(address, has_update ? std::min(kRetryPeriod, period) : period,
              has_update, input)) {
      Send(address, send_manifest, input, actions);
    }
  }
  const bool isolated = input.version == 0 || !ReachesAny(partners, input);
  if (is_entry || isolated) {
    AddProbes(input, relay || isolated, actions);
  }
  if (is_entry) {
    AddPlatformRead(input, relay, actions);
  }
  std::erase_if(last_sent_, [&](const auto& item) {
    return input.now - item.second > common::seconds(60);
  });
  return actions;
}

Actions Planner::OnNewManifest(Source source, const PlannerInput& input) {
  Actions actions;
  std::set<std::string> targets;
  const bool relay = options_.role == Role::kEntry && IsRelay(input);
  if (relay) {
    targets = OwnDomainMembers(input);
  }
  if (relay || source == Source::kPlatform) {
    for (const auto& relays :
         {OwnDomainRelays(input, kOwnDomainRelays), OtherDomainRelays(input)}) {
      targets.insert(relays.begin(), relays.end());
    }
  }
  targets.erase(options_.address);
  for (const std::string& address : targets) {
    Send(address, HasOlderManifest(address, input), input, actions);
  }
  return actions;
}

Actions Planner::OnOwnDomainDigestChanged(const PlannerInput& input) {
  Actions actions;
  if (IsDirect(input) || !IsRelay(input)) {
    return actions;
  }
  for (const std::string& address : OtherDomainRelays(input)) {
    Send(address, /*with_manifest=*/false, input, actions);
  }
  return actions;
}

Actions Planner::OnOtherDomainDigestChanged(const PlannerInput& input) {
  Actions actions;
  if (!IsRelay(input)) {
    return actions;
  }
  for (const auto& [address, peer] : input.peers.peers()) {
    if (peer.info.failure_domain == options_.failure_domain &&
        IsLiveEntry(peer, input)) {
      Send(address, /*with_manifest=*/false, input, actions);
    }
  }
  return actions;
}

Actions Planner::OnLeaving(const PlannerInput& input) {
  leaving_confirmed_by_.clear();
  Actions actions;
  for (const auto& [address, peer] : input.peers.peers()) {
    if (peer.info.role == Role::kEntry) {
      Send(address, /*with_manifest=*/false, input, actions);
    }
  }
  return actions;
}

void Planner::OnLeavingConfirmed(const std::string& address) {
  leaving_confirmed_by_.insert(address);
}

bool Planner::IsRelay(const PlannerInput& input) {
  const auto relays = OwnDomainRelays(input, 1);
  return !relays.empty() && relays.front() == options_.address;
}

std::vector<std::string> Planner::EntriesToShare(const PlannerInput& input) {
  std::vector<std::string> entries;
  for (const auto& [address, peer] : input.peers.peers()) {
    if (peer.info.role == Role::kEntry && !peer.info.leaving) {
      entries.push_back(address);
    }
  }
  if (entries.size() <= kMaxSharedEntries) {
    return entries;
  }
  next_shared_ %= entries.size();
  std::rotate(entries.begin(),
              entries.begin() + static_cast<ptrdiff_t>(next_shared_),
              entries.end());
  entries.resize(kMaxSharedEntries);
  next_shared_ += kMaxSharedEntries;
  return entries;
}

bool Planner::IsDirect(const PlannerInput& input) const {
  size_t members = input.endpoints.size();
  for (const auto& [address, peer] : input.peers.peers()) {
    members += input.endpoints.contains(address) ? 0 : 1;
  }
  return members <= options_.direct_limit;
}

std::vector<std::string> Planner::RelayCandidates(
    const std::string& failure_domain,
    const PlannerInput& input) const {
  std::vector<std::string> live;
  std::vector<std::string> reaching_platform;
  const auto add = [&](const std::string& address, bool sees_platform) {
    live.push_back(address);
    if (sees_platform) {
      reaching_platform.push_back(address);
    }
  };
  if (failure_domain == options_.failure_domain && !input.leaving &&
      options_.role == Role::kEntry) {
    add(options_.address, input.sees_platform);
  }
  for (const auto& [address, peer] : input.peers.peers()) {
    if (peer.info.failure_domain == failure_domain &&
        IsLiveEntry(peer, input)) {
      add(address, peer.info.sees_platform);
    }
  }
  return reaching_platform.empty() ? live : reaching_platform;
}

std::vector<std::string> Planner::OwnDomainRelays(const PlannerInput& input,
                                                  size_t count) {
  return rank_.Top(options_.failure_domain,
                   RelayCandidates(options_.failure_domain, input), count);
}

std::vector<std::string> Planner::OtherDomainRelays(const PlannerInput& input) {
  // Entries of other domains are contacted rarely, so every known one is a
  // candidate, whenever it was last seen.
  std::map<std::string, std::vector<const Peer*>> by_domain;
  for (const auto& [address, peer] : input.peers.peers()) {
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
             ? MostRecentlySeen(std::move(entries))
             : rank_.Top(failure_domain, answering, kRelaysPerOtherDomain)) {
      relays.push_back(relay);
    }
  }
  return relays;
}

std::set<std::string> Planner::OwnDomainMembers(
    const PlannerInput& input) const {
  std::set<std::string> members;
  for (const auto& [address, failure_domain] : input.endpoints) {
    if (failure_domain == options_.failure_domain) {
      members.insert(address);
    }
  }
  for (const auto& [address, peer] : input.peers.peers()) {
    if (peer.info.failure_domain == options_.failure_domain) {
      members.insert(address);
    }
  }
  return members;
}

Planner::Partners Planner::PartnersOfEntry(const PlannerInput& input,
                                           bool relay) {
  Partners partners;
  if (IsDirect(input)) {
    for (const auto& [address, failure_domain] : input.endpoints) {
      partners[address] = options_.exchange_period;
    }
    for (const auto& [address, peer] : input.peers.peers()) {
      partners[address] = options_.exchange_period;
    }
    partners.erase(options_.address);
    return partners;
  }
  const common::Duration entry_period =
      std::max(options_.exchange_period, kEntryPeriod);
  const std::set<std::string> own_domain = OwnDomainMembers(input);
  const common::Duration endpoint_period = std::max<common::Duration>(
      options_.exchange_period,
      common::milliseconds(1000 * static_cast<int64_t>(own_domain.size()) /
                           kEndpointExchangesPerSecond));
  for (const std::string& address : own_domain) {
    const auto peer = input.peers.peers().find(address);
    const bool is_entry = peer != input.peers.peers().end() &&
                          peer->second.info.role == Role::kEntry;
    if (!is_entry) {
      partners[address] = endpoint_period;
    } else if (relay && HasOlderManifest(address, input)) {
      partners[address] = entry_period;
    }
  }
  for (const std::string& address : OwnDomainRelays(input, kOwnDomainRelays)) {
    partners[address] = entry_period;
  }
  if (relay) {
    for (const std::string& address : OtherDomainRelays(input)) {
      partners[address] = entry_period;
    }
  }
  partners.erase(options_.address);
  return partners;
}

Planner::Partners Planner::PartnersOfEndpoint(const PlannerInput& input) const {
  // Entries normally start exchanges with endpoints. An endpoint starts one
  // only with an entry that has not done so for a while.
  constexpr int kEndpointPeriodFactor = 3;
  const bool direct = IsDirect(input);
  const auto own_members = static_cast<int64_t>(OwnDomainMembers(input).size());
  const common::Duration period =
      direct ? options_.exchange_period * 2
             : std::max<common::Duration>(
                   options_.exchange_period,
                   common::milliseconds(1000 * own_members /
                                        kEndpointExchangesPerSecond)) *
                   kEndpointPeriodFactor;
  Partners partners;
  for (const auto& [address, peer] : input.peers.peers()) {
    const bool same_domain =
        peer.info.failure_domain == options_.failure_domain;
    if (peer.info.role == Role::kEntry && (direct || same_domain)) {
      partners[address] = period;
    }
  }
  return partners;
}

void Planner::AddProbes(const PlannerInput& input,
                        bool fast,
                        Actions& actions) {
  if (input.now - last_probe_ < kProbePeriod) {
    return;
  }
  last_probe_ = input.now;
  // Least recently contacted first, so that dead addresses do not keep live
  // ones from being probed.
  std::vector<std::pair<common::Time, std::string>> unknown;
  for (const std::string& address : input.peers.seeds()) {
    if (address == options_.address || input.peers.peers().contains(address)) {
      continue;
    }
    const auto sent = last_sent_.find(address);
    unknown.emplace_back(
        sent == last_sent_.end() ? common::Time{} : sent->second, address);
  }
  const size_t count =
      std::min(unknown.size(), fast ? kFastProbesPerPeriod : kProbesPerPeriod);
  std::partial_sort(unknown.begin(),
                    unknown.begin() + static_cast<ptrdiff_t>(count),
                    unknown.end());
  for (size_t i = 0; i < count; ++i) {
    Send(unknown[i].second, /*with_manifest=*/false, input, actions);
  }
}

void Planner::AddPlatformRead(const PlannerInput& input,
                              bool relay,
                              Actions& actions) {
  const common::Duration period =
      relay || input.version == 0 ? options_.poll_period : kNonRelayPollPeriod;
  const bool never_read = last_read_ == common::Time{};
  if (reading_ || (!never_read && input.now - last_read_ < period)) {
    return;
  }
  last_read_ = input.now;
  reading_ = true;
  actions.push_back(ReadPlatform{});
}

bool Planner::ReachesAny(const Partners& partners,
                         const PlannerInput& input) const {
  const auto& peers = input.peers.peers();
  return std::any_of(partners.begin(), partners.end(), [&](const auto& item) {
    const auto peer = peers.find(item.first);
    return peer != peers.end() && peer->second.unanswered < kMaxUnanswered;
  });
}

bool Planner::IsDue(const std::string& address,
                    common::Duration period,
                    bool has_update,
                    const PlannerInput& input) const {
  common::Time last{};
  const auto sent = last_sent_.find(address);
  if (sent != last_sent_.end()) {
    last = sent->second;
  }
  const auto peer = input.peers.peers().find(address);
  if (peer != input.peers.peers().end()) {
    if (!has_update) {
      last = std::max(last, peer->second.last_seen);
    }
    if (peer->second.unanswered >= kMaxUnanswered) {
      period = std::max(period, kUnansweredPeriod);
    }
  }
  return last == common::Time{} || input.now - last >= period;
}

void Planner::Send(const std::string& address,
                   bool with_manifest,
                   const PlannerInput& input,
                   Actions& actions) {
  last_sent_[address] = input.now;
  actions.push_back(
      SendExchange{.address = address, .with_manifest = with_manifest});
}

}  // namespace wagtailshore::dissemination
