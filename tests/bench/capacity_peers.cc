#include <set>
#include <string>

#include "bench/capacity.h"
#include "common/invariant.h"
#include "common/strings.h"
#include "coordination/membership/peer_table.h"
#include "protocol/messages/messages.h"
#include "state/routing/router.h"

namespace wagtailshore::bench::capacity {
namespace {

constexpr common::Duration kPeerHorizon = common::seconds(60);
constexpr size_t kFailureDomains = 20;

std::string PeerAddress(size_t number) {
  constexpr size_t kNumbers = 250;
  return common::StrCat("10.1.", number / kNumbers, ".", number % kNumbers + 1,
                        ":7200");
}

membership::PeerInfo InfoOf(size_t number) {
  return {.name = common::StrCat("endpoint-", number),
          .incarnation = "0123456789abcdef0123456789abcdef",
          .role = membership::Role::kEndpoint,
          .failure_domain =
              common::StrCat("region-1-domain-", number % kFailureDomains),
          .peer_address = PeerAddress(number),
          .manifest_version = 1100};
}

void Fill(routing::Router& router, size_t endpoints) {
  for (size_t i = 0; i < endpoints; ++i) {
    const membership::PeerInfo info = InfoOf(i);
    router.Upsert(info.name, info.failure_domain, "model-1");
  }
}

// State per candidate, and the time of a pick among all of them and of the
// attempt's end.
Cost PickCost(size_t endpoints) {
  const size_t before = HeapBytesInUse();
  routing::Router router({.failure_domain = "region-1-domain-1"});
  Fill(router, endpoints);
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
  Fill(router, endpoints);
  const std::string name = InfoOf(endpoints / 2).name;
  return {.microseconds = MicrosecondsOf(
              [&] { router.OnReport(name, {.running = 1}, common::Time{}); })};
}

// State per peer and the time of one exchange period's walk over them.
Cost PeerTableCost(size_t peers) {
  const size_t before = HeapBytesInUse();
  membership::PeerTable table;
  for (size_t i = 0; i < peers; ++i) {
    table.OnHeard(InfoOf(i), common::Time{});
  }
  const size_t after = HeapBytesInUse();
  return {.heap_bytes = static_cast<double>(after - before),
          .microseconds = MicrosecondsOf(
              [&] { table.Expire(common::Time{}, kPeerHorizon); })};
}

// Encoding a request and decoding its reply: what one side of an exchange
// does, but for the transport.
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
      {"peer table", "peers", {20, 90, 450, 1800}, &PeerTableCost},
      {"exchange", "entries", {0, 6, 20, 400}, &ExchangeOfEntries},
      {"exchange + manifest",
       "bytes",
       {10'000, 100'000, 1'000'000},
       &ExchangeOfManifest},
  };
}

}  // namespace wagtailshore::bench::capacity
