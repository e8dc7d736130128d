// Topic `rollout`: time until a manifest is in force in every process, and the
// store reads and network traffic this takes, with relays and with direct
// polling.

#include <algorithm>
#include <iomanip>
#include <random>
#include <string>
#include <vector>

#include "bench/topics.h"
#include "common/strings.h"
#include "protocol/messages/messages.h"
#include "support/rollout_world.h"

namespace wagtailshore::bench {
namespace {

using test_support::RolloutWorld;

struct Size {
  int failure_domains;
  int entries_per_domain;
  int endpoints_per_domain;
};

constexpr common::Duration kWarmUp = common::seconds(20);
constexpr common::Duration kBetweenSubmits = common::seconds(4);
constexpr int kSubmits = 6;

Size SizeByName(const std::string& name) {
  // Many small failure domains, to measure a relay's cost per failure domain.
  if (name == "narrow") {
    return {.failure_domains = 20,
            .entries_per_domain = 3,
            .endpoints_per_domain = 3};
  }
  // A few failure domains, each as large as in "target".
  if (name == "part") {
    return {.failure_domains = 4,
            .entries_per_domain = 20,
            .endpoints_per_domain = 70};
  }
  if (name == "target") {
    return {.failure_domains = 20,
            .entries_per_domain = 20,
            .endpoints_per_domain = 70};
  }
  return {
      .failure_domains = 3, .entries_per_domain = 3, .endpoints_per_domain = 5};
}

double Quantile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  return values[static_cast<size_t>(share *
                                    static_cast<double>(values.size() - 1))];
}

double Seconds(common::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Bytes of the encoded message without the manifest's body.
size_t WireSize(const dissemination::Message& message) {
  return messages::Encode(messages::PeerExchange{.info = message.info,
                                                 .entries = message.entries,
                                                 .domains = message.domains})
      .size();
}

void PrintTimes(std::ostream& out,
                const std::string& label,
                const std::vector<double>& seconds,
                double reads_per_second) {
  out << label << "  in force p50 " << Quantile(seconds, 0.5) << " s, p99 "
      << Quantile(seconds, 0.99) << " s, max " << Quantile(seconds, 1.0)
      << " s; store reads " << reads_per_second << " a second\n";
}

void PrintBytes(std::ostream& out,
                const std::string& role,
                const std::vector<double>& bytes_per_second) {
  out << "  " << role << ": bytes a second p50 "
      << Quantile(bytes_per_second, 0.5) << ", max "
      << Quantile(bytes_per_second, 1.0) << "\n";
}

void MeasureRelays(const Size& size, uint64_t seed, std::ostream& out) {
  RolloutWorld world({.seed = seed,
                      .failure_domains = size.failure_domains,
                      .entries_per_domain = size.entries_per_domain,
                      .endpoints_per_domain = size.endpoints_per_domain,
                      .checks = false});
  std::mt19937_64 random(seed);
  (void)world.SubmitAt("entry-d0-0", 0, "first");
  world.Advance(kWarmUp);

  // Measures the cost of the exchanges while no manifest changes.
  world.wire_size = &WireSize;
  const uint64_t reads_before = world.store_reads();
  const common::Duration idle = common::seconds(10);
  world.Advance(idle);
  world.wire_size = nullptr;
  const double reads =
      static_cast<double>(world.store_reads() - reads_before) / Seconds(idle);
  std::vector<double> entries;
  std::vector<double> relays;
  std::vector<double> endpoints;
  for (auto& [name, process] : world.processes()) {
    const double bytes =
        static_cast<double>(process.bytes_sent + process.bytes_received) /
        Seconds(idle);
    if (process.role == membership::Role::kEndpoint) {
      endpoints.push_back(bytes);
    } else if (process.member->IsRelay(world.now())) {
      relays.push_back(bytes);
    } else {
      entries.push_back(bytes);
    }
  }

  // Counts transfers of the manifest's body. Each process needs one per change.
  uint64_t bodies = 0;
  world.wire_size = [&bodies](const dissemination::Message& message) {
    bodies += message.manifest == nullptr ? 0 : 1;
    return size_t{0};
  };
  for (int i = 0; i < kSubmits; ++i) {
    const std::string entry = common::StrCat(
        "entry-d",
        std::uniform_int_distribution<int>(0, size.failure_domains - 1)(random),
        "-",
        std::uniform_int_distribution<int>(
            0, size.entries_per_domain - 1)(random));
    (void)world.SubmitAt(entry, std::nullopt, common::StrCat("submit-", i));
    world.Advance(kBetweenSubmits);
  }
  std::vector<double> seconds;
  uint64_t missing = 0;
  for (auto& [name, process] : world.processes()) {
    for (uint64_t version = 2; version <= world.store_version(); ++version) {
      const auto found = process.in_force.lower_bound(version);
      if (found == process.in_force.end()) {
        ++missing;
        continue;
      }
      seconds.push_back(Seconds(found->second - world.accepted().at(version)));
    }
  }
  PrintTimes(out, "relays        ", seconds, reads);
  out << "  not in force at the end: " << missing
      << "; bodies handed over per process and change: "
      << static_cast<double>(bodies) / kSubmits /
             static_cast<double>(world.processes().size())
      << "\n";
  PrintBytes(out, "relay   ", relays);
  PrintBytes(out, "entry   ", entries);
  PrintBytes(out, "endpoint", endpoints);
}

// Calculates the times if every process polls the row once per second.
void MeasureDirectPolling(const Size& size, uint64_t seed, std::ostream& out) {
  constexpr double kPollSeconds = 1.0;
  constexpr double kReadSeconds = 0.002;
  const int processes = size.failure_domains *
                        (size.entries_per_domain + size.endpoints_per_domain);
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<double> phase(0, kPollSeconds);
  std::vector<double> seconds;
  seconds.reserve(static_cast<size_t>(processes) * kSubmits);
  for (int i = 0; i < processes * kSubmits; ++i) {
    // Two reads: the row, then the body.
    seconds.push_back(phase(random) + 2 * kReadSeconds);
  }
  PrintTimes(out, "direct polling", seconds, processes / kPollSeconds);
}

}  // namespace

void MeasureRollout(const TopicOptions& options, std::ostream& out) {
  const Size size = SizeByName(options.size);
  out << std::fixed << std::setprecision(3) << size.failure_domains
      << " failure domains of " << size.entries_per_domain << " entries and "
      << size.endpoints_per_domain << " endpoints, 1% of messages lost\n";
  MeasureRelays(size, options.seed, out);
  MeasureDirectPolling(size, options.seed, out);
}

}  // namespace wagtailshore::bench
