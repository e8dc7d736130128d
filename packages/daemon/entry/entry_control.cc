#include "daemon/entry/entry_control.h"

#include <utility>

#include "common/event_log.h"
#include "common/strings.h"

namespace wagtailshore::entry {
namespace {

// An endpoint's process as the quarantine names it: a restarted one differs.
std::string ProcessOf(node::Node& node, const std::string& name) {
  for (const auto& [address, peer] : node.peers().peers()) {
    if (peer.info.name == name) {
      return common::StrCat(name, "/", peer.info.incarnation);
    }
  }
  return common::StrCat(name, "/");
}

std::string NameOf(const std::string& process) {
  return process.substr(0, process.rfind('/'));
}

}  // namespace

std::optional<Picked> EntryControl::Pick(const Admitted& admitted,
                                         const routing::PickRequest& request) {
  const auto name = node_.control().Call(
      [&] { return core_.router.Pick(request, common::Clock::now()); });
  if (!name.has_value()) {
    return std::nullopt;
  }
  return Locate(admitted, *name);
}

std::optional<Picked> EntryControl::Locate(const Admitted& admitted,
                                           const std::string& name) {
  // The request may be older than the newest manifest, which the router knows.
  const auto manifest =
      node_.control().Call([&] { return node_.manifests().current(); });
  for (const auto* source : {manifest.get(), admitted.manifest.get()}) {
    for (const manifest::Endpoint& endpoint : source->manifest.endpoints) {
      if (endpoint.name == name) {
        return Picked{endpoint.name, endpoint.traffic_address};
      }
    }
  }
  return std::nullopt;
}

bool EntryControl::TryTakeRetry() {
  return node_.control().Call([this] { return core_.retries.TryTake(); });
}

ContentPick EntryControl::PickOnControl(routing::PickRequest& request,
                                        const std::string& digest,
                                        std::optional<std::string> endpoint) {
  const common::Time now = common::Clock::now();
  const quarantine::Verdict verdict = core_.quarantine.Check(digest, now);
  if (const auto* refused = std::get_if<quarantine::Refused>(&verdict)) {
    return *refused;
  }
  const auto* rules = std::get_if<quarantine::MayRun>(&verdict);
  if (rules == nullptr) {
    return quarantine::MustWait{};
  }
  for (const std::string& process : rules->avoid) {
    request.avoid.insert(NameOf(process));
  }
  if (rules->pinned_endpoint.has_value()) {
    endpoint = NameOf(*rules->pinned_endpoint);
    // Elsewhere it could cost another endpoint before the first is known.
    if (!core_.router.MayTake(*endpoint, request.avoid)) {
      return quarantine::MustWait{};
    }
  }
  if (endpoint.has_value() && core_.router.MayTake(*endpoint, request.avoid)) {
    core_.router.OnResumed(*endpoint, now);
  } else {
    endpoint = core_.router.Pick(request, now);
  }
  if (!endpoint.has_value()) {
    return NoneFree{};
  }
  return PickedRun{
      .endpoint = {.name = *endpoint},
      .attempt = core_.quarantine.OnSent(digest, ProcessOf(node_, *endpoint))};
}

ContentPick EntryControl::PickForContent(
    const Admitted& admitted,
    routing::PickRequest request,
    const std::string& digest,
    const std::optional<std::string>& prefer) {
  ContentPick pick = node_.control().Call(
      [&] { return PickOnControl(request, digest, prefer); });
  auto* run = std::get_if<PickedRun>(&pick);
  if (run == nullptr) {
    return pick;
  }
  auto located = Locate(admitted, run->endpoint.name);
  if (!located.has_value()) {
    Report(run->endpoint.name, AttemptResult::kAbandoned);
    EndContent(run->attempt, digest, ContentEnd::kOther);
    return NoneFree{};
  }
  run->endpoint = *std::move(located);
  return pick;
}

void EntryControl::EndContent(uint64_t attempt,
                              const std::string& digest,
                              ContentEnd end) {
  node_.control().Post([this, attempt, digest, end] {
    const bool quarantined = core_.quarantine.OnEnded(
        attempt, end == ContentEnd::kCrashed, end == ContentEnd::kAnswered,
        common::Clock::now());
    if (quarantined) {
      common::LogEvent(common::EventId::kContentQuarantined,
                       common::StrCat("digest=", digest));
    }
  });
}

void EntryControl::Report(const std::string& endpoint,
                          AttemptResult result,
                          routing::AttemptTimes times) {
  node_.control().Post([this, endpoint, result, times] {
    const common::Time now = common::Clock::now();
    switch (result) {
      case AttemptResult::kServed:
        core_.router.OnSuccess(endpoint, times, now);
        core_.retries.OnSuccess();
        break;
      case AttemptResult::kRefused:
      case AttemptResult::kFailed:
        core_.router.OnFailure(endpoint, now);
        break;
      case AttemptResult::kBusy:
        core_.router.OnBusy(endpoint, now);
        break;
      case AttemptResult::kAbandoned:
        core_.router.OnAbandoned(endpoint, now);
        break;
    }
  });
}

void EntryControl::RecordAnswer(const metrics::AnswerTimes& times) {
  node_.control().Post(
      [&core = core_, times] { core.metrics.OnAnswer(times); });
}

void EntryControl::RecordComplete() {
  node_.control().Post([&core = core_] { core.metrics.OnComplete(); });
}

void EntryControl::RecordRefused(refusal::Code code) {
  node_.control().Post([&core = core_, code] { core.metrics.OnRefused(code); });
}

}  // namespace wagtailshore::entry
