#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "bench/capacity.h"
#include "common/invariant.h"
#include "common/strings.h"
#include "coordination/dissemination/member.h"
#include "coordination/membership/peer_table.h"
#include "protocol/messages/messages.h"
#include "state/routing/router.h"

namespace wagtailshore::bench::capacity {
namespace {

// Endpoints and entries in one failure domain at the target size.
constexpr size_t kMembersPerDomain = 90;
constexpr size_t kEndpointsPerDomain = 70;
constexpr size_t kFailureDomains = 20;

membership::PeerInfo InfoOf(size_t number) {
  return {.name = common::StrCat("endpoint-", number),
          .incarnation = "0123456789abcdef0123456789abcdef",
          .role = membership::Role::kEndpoint,
          .failure_domain = FailureDomain(number, kFailureDomains),
          .peer_address = PeerAddress(number),
          .manifest_version = 1100};
}

void AddEndpoints(routing::Router& router, size_t endpoints) {
  for (size_t i = 0; i < endpoints; ++i) {
    const membership::PeerInfo info = InfoOf(i);
    router.Upsert(info.name, info.failure_domain, "model-1");
  }
}

// Heap memory of a router with this many candidates, and the time of one pick
// and the end of its attempt.
Cost PickCost(size_t endpoints) {
  const size_t before = HeapBytesInUse();
  routing::Router router({.failure_domain = "region-1-domain-1"});
  AddEndpoints(router, endpoints);
  const size_t after = HeapBytesInUse();
  return {.heap_bytes = static_cast<double>(after - before),
          .microseconds = MicrosecondsOf([&] {
            const auto picked =
                router.Pick({.target = "model-1"}, common::Time{});
            WS_INVARIANT(picked.has_value());
            router.OnAbandoned(*picked, common::Time{});
          })};
}

Cost ReportCost(size_t endpoints) {
  routing::Router router({.failure_domain = "region-1-domain-1"});
  AddEndpoints(router, endpoints);
  const std::string name = InfoOf(endpoints / 2).name;
  return {.microseconds = MicrosecondsOf(
              [&] { router.OnReport(name, {.running = 1}, common::Time{}); })};
}

// Simulates one process whose peers answer its requests immediately.
class MembershipSimulation {
 public:
  MembershipSimulation(size_t members, membership::Role role)
      : domains_(std::max<size_t>(1, members / kMembersPerDomain)),
        endpoints_(members * kEndpointsPerDomain / kMembersPerDomain) {
    for (size_t i = 0; i < members; ++i) {
      membership::PeerInfo info = InfoOf(i);
      info.role = i < endpoints_ ? membership::Role::kEndpoint
                                 : membership::Role::kEntry;
      info.failure_domain = FailureDomain(i, domains_);
      infos_[info.peer_address] = info;
    }
    const size_t own = role == membership::Role::kEndpoint ? 0 : endpoints_;
    const membership::PeerInfo& info = infos_.at(PeerAddress(own));
    member_.emplace(info, dissemination::PlannerOptions{
                              .address = info.peer_address,
                              .failure_domain = info.failure_domain,
                              .role = role});
    manifest::Manifest manifest = ManifestOf(endpoints_, 1, domains_);
    manifest.version = info.manifest_version;
    member_->OnPlatformManifest(
        std::make_shared<const rollout::VersionedManifest>(
            rollout::VersionedManifest{.manifest = manifest}),
        now_);
    for (const auto& [address, peer] : infos_) {
      if (address != info.peer_address) {
        member_->OnRequest({.info = peer}, now_);
      }
    }
  }

  // Runs one tick. Returns the size of the requests that it sent, in bytes.
  size_t Tick() {
    now_ += dissemination::kTickPeriod;
    size_t bytes = 0;
    for (const auto& action : member_->OnTick(now_).actions) {
      if (std::holds_alternative<dissemination::ReadPlatform>(action)) {
        member_->OnPlatformRead(true);
        continue;
      }
      const auto& send = std::get<dissemination::SendExchange>(action);
      const dissemination::Message message = member_->MessageFor(send, now_);
      bytes +=
          messages::Encode(messages::PeerExchange{.info = message.info,
                                                  .entries = message.entries})
              .size();
      member_->OnReply({.info = infos_.at(send.address)}, now_, now_);
    }
    return bytes;
  }

 private:
  size_t domains_;
  size_t endpoints_;
  std::map<std::string, membership::PeerInfo> infos_;
  std::optional<dissemination::Member> member_;
  common::Time now_{common::seconds(1000)};
};

// Heap memory of one process's membership state, and the request bytes and
// processor time per second of its ticks, with this many members in all failure
// domains.
Cost MembershipCost(size_t members, membership::Role role) {
  constexpr size_t kTicksPerSecond = 10;
  constexpr size_t kSeconds = 70;
  const size_t before = HeapBytesInUse();
  MembershipSimulation membership(members, role);
  const size_t after = HeapBytesInUse();
  // Peers without exchanges expire from the peer table within this time.
  for (size_t i = 0; i < kSeconds * kTicksPerSecond; ++i) {
    membership.Tick();
  }
  size_t bytes = 0;
  for (size_t i = 0; i < kSeconds * kTicksPerSecond; ++i) {
    bytes += membership.Tick();
  }
  return {.heap_bytes = static_cast<double>(after - before),
          .wire_bytes = static_cast<double>(bytes) / kSeconds,
          .microseconds =
              MicrosecondsOf([&] { membership.Tick(); }) * kTicksPerSecond};
}

Cost EntryMembershipCost(size_t members) {
  return MembershipCost(members, membership::Role::kEntry);
}

Cost EndpointMembershipCost(size_t members) {
  return MembershipCost(members, membership::Role::kEndpoint);
}

// Cost of one side of an exchange without the transport: encoding the request
// and decoding the reply.
Cost ExchangeCost(const messages::PeerExchange& exchange) {
  const std::string bytes = messages::Encode(exchange);
  return {.wire_bytes = static_cast<double>(bytes.size()),
          .microseconds = MicrosecondsOf([&] {
            (void)messages::Encode(exchange);
            WS_INVARIANT(messages::DecodePeerExchange(bytes).ok());
          })};
}

Cost ExchangeOfEntries(size_t entries) {
  messages::PeerExchange exchange{.info = InfoOf(1)};
  for (size_t i = 0; i < entries; ++i) {
    exchange.entries.push_back(PeerAddress(i));
  }
  return ExchangeCost(exchange);
}

Cost ExchangeOfManifest(size_t bytes) {
  return ExchangeCost({.info = InfoOf(1),
                       .manifest = messages::ManifestTransfer{
                           .version = 1100, .body = std::string(bytes, 'x')}});
}

}  // namespace

std::vector<Part> PeerParts() {
  return {
      {"router pick", "endpoints", {15, 70, 350, 1400}, &PickCost},
      {"router report", "endpoints", {15, 70, 350, 1400}, &ReportCost},
      {"entry a second",
       "members",
       {18, 45, 90, 450, 1800},
       &EntryMembershipCost},
      {"endpoint a second",
       "members",
       {18, 45, 90, 450, 1800},
       &EndpointMembershipCost},
      {"exchange", "entries", {0, 6, 20, 400}, &ExchangeOfEntries},
      {"exchange + manifest",
       "bytes",
       {10'000, 100'000, 1'000'000},
       &ExchangeOfManifest},
  };
}

}  // namespace wagtailshore::bench::capacity
