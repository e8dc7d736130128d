#include <memory>
#include <string>
#include <variant>

#include "bench/capacity.h"
#include "common/digest.h"
#include "common/invariant.h"
#include "common/strings.h"
#include "protocol/manifest_codec/manifest_codec.h"
#include "state/manifest/customer_index.h"
#include "state/manifest/manifest.h"

namespace wagtailshore::bench::capacity {
namespace {

constexpr size_t kModels = 14;
constexpr size_t kFailureDomains = 20;
constexpr size_t kFewCustomers = 10;
constexpr size_t kFewEndpoints = 14;

std::string Address(size_t number, int port) {
  constexpr size_t kHostsPerSubnet = 250;
  return common::StrCat("10.1.", number / kHostsPerSubnet, ".",
                        number % kHostsPerSubnet + 1, ":", port);
}

}  // namespace

std::string PeerAddress(size_t number) {
  return Address(number, 7200);
}

std::string FailureDomain(size_t number, size_t domains) {
  return common::StrCat("region-1-domain-", number % domains);
}

manifest::Manifest ManifestOf(size_t endpoints,
                              size_t customers,
                              size_t domains) {
  manifest::Manifest manifest;
  for (size_t i = 0; i < kModels; ++i) {
    manifest.groups.push_back({.name = common::StrCat("model-", i, "-group"),
                               .model = common::StrCat("model-", i),
                               .ranks = 256,
                               .layers = 60,
                               .experts = 256,
                               .slots_per_rank = 2});
  }
  for (size_t i = 0; i < customers; ++i) {
    const std::string name = common::StrCat("customer-", i);
    manifest.customers.push_back(
        {.name = name, .key_sha256 = common::Sha256Hex(name)});
  }
  for (size_t i = 0; i < endpoints; ++i) {
    manifest.endpoints.push_back(
        {.name = common::StrCat("endpoint-", i),
         .failure_domain = FailureDomain(i, domains),
         .traffic_address = Address(i, 7100),
         .peer_address = PeerAddress(i),
         .duty = manifest::GroupRank{
             .group = common::StrCat("model-", i % kModels, "-group"),
             .rank = static_cast<int>(i / kModels)}});
  }
  return manifest;
}

namespace {

// Heap memory of the parsed manifest, size of its text, and time to parse it.
Cost ParseCost(const manifest::Manifest& manifest) {
  const std::string text = manifest_codec::Format(manifest);
  const auto parse = [&] { return manifest_codec::Parse(text); };
  const size_t before = HeapBytesInUse();
  const auto parsed = std::make_unique<decltype(parse())>(parse());
  const size_t after = HeapBytesInUse();
  WS_INVARIANT(std::holds_alternative<manifest::Manifest>(*parsed));
  return {.heap_bytes = static_cast<double>(after - before),
          .wire_bytes = static_cast<double>(text.size()),
          .microseconds = MicrosecondsOf([&] { (void)parse(); })};
}

Cost DigestCost(size_t bytes) {
  const std::string text(bytes, 'x');
  return {
      .wire_bytes = static_cast<double>(bytes),
      .microseconds = MicrosecondsOf([&] { (void)common::Sha256Hex(text); })};
}

Cost LookUpCost(size_t customers) {
  const manifest::Manifest manifest =
      ManifestOf(kFewEndpoints, customers, kFailureDomains);
  const std::string& key = manifest.customers.back().key_sha256;
  const size_t before = HeapBytesInUse();
  const manifest::CustomerIndex index(manifest);
  const size_t after = HeapBytesInUse();
  return {.heap_bytes = static_cast<double>(after - before),
          .microseconds = MicrosecondsOf(
              [&] { WS_INVARIANT(index.Find(manifest, key) != nullptr); })};
}

}  // namespace

std::vector<Part> ManifestParts() {
  return {
      {"manifest endpoint",
       "endpoints",
       {14, 350, 1400},
       [](size_t n) {
         return ParseCost(ManifestOf(n, kFewCustomers, kFailureDomains));
       }},
      {"manifest customer",
       "customers",
       {10, 1000, 5400},
       [](size_t n) {
         return ParseCost(ManifestOf(kFewEndpoints, n, kFailureDomains));
       }},
      {"manifest digest", "bytes", {10'000, 100'000, 1'000'000}, &DigestCost},
      {"customer look-up", "customers", {10, 1000, 5400}, &LookUpCost},
  };
}

}  // namespace wagtailshore::bench::capacity
