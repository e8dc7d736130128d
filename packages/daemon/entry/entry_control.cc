#include "daemon/entry/entry_control.h"

#include <utility>

#include "common/event_log.h"
#include "common/strings.h"

namespace wagtailshore::entry {
namespace {

// The quarantine's identifier of an endpoint's process, "name/incarnation". A
// restarted endpoint has another one.
std::string ProcessId(node::Node& node, const std::string& name) {
  for (const auto& [address, peer] : node.peers().peers()) {
    if (peer.info.name == name) {
      return common::StrCat(name, "/", peer.info.incarnation);
    }
  }
  return common::StrCat(name, "/");
}

}  // namespace

std::optional<PickedEndpoint> EntryControl::Pick(
    const Admitted& admitted,
    const routing::PickRequest& request) {
  const auto name = node_.control().Call(
      [&] { return core_.router.Pick(request, common::Clock::now()); });
  if (!name.has_value()) {
    return std::nullopt;
  }
  return Locate(admitted, *name);
}

std::optional<PickedEndpoint> EntryControl::Locate(const Admitted& admitted,
                                                   const std::string& name) {
  // The router uses the newest manifest, which may be newer than the one that
  // the request was admitted under.
  const auto manifest =
      node_.control().Call([&] { return node_.manifests().current(); });
  for (const auto* source : {manifest.get(), admitted.manifest.get()}) {
    for (const manifest::Endpoint& endpoint : source->manifest.endpoints) {
      if (endpoint.name == name) {
        return PickedEndpoint{endpoint.name, endpoint.traffic_address};
      }
    }
  }
  return std::nullopt;
}

bool EntryControl::TryTakeRetry() {
  return node_.control().Call([this] { return core_.retry_budget.TryTake(); });
}

ContentPick EntryControl::PickOnControl(routing::PickRequest& request,
                                        const std::string& digest,
                                        std::optional<std::string> endpoint) {
  const common::Time now = common::Clock::now();
  const quarantine::Verdict verdict = core_.quarantine.Check({digest}, now);
  if (const auto* refused = std::get_if<quarantine::Refused>(&verdict)) {
    return *refused;
  }
  const auto* rules = std::get_if<quarantine::MayRun>(&verdict);
  if (rules == nullptr) {
    return quarantine::MustWait{};
  }
  for (const std::string& process : rules->avoid) {
    request.avoid.insert(quarantine::EndpointNameOf(process));
  }
  if (rules->pinned_endpoint.has_value()) {
    endpoint = quarantine::EndpointNameOf(*rules->pinned_endpoint);
    // On another endpoint the content could cause a second crash while its
    // attempt on the pinned endpoint is still in flight.
    if (!core_.router.IsEligible(*endpoint, request.avoid)) {
      return quarantine::MustWait{};
    }
  }
  if (endpoint.has_value() &&
      core_.router.IsEligible(*endpoint, request.avoid)) {
    core_.router.BeginAttempt(*endpoint, now);
  } else {
    endpoint = core_.router.Pick(request, now);
  }
  if (!endpoint.has_value()) {
    return NoEndpointAvailable{};
  }
  return PickedAttempt{.endpoint = {.name = *endpoint},
                       .attempt = core_.quarantine.OnSent(
                           {digest}, ProcessId(node_, *endpoint))};
}

ContentPick EntryControl::PickForContent(
    const Admitted& admitted,
    routing::PickRequest request,
    const std::string& digest,
    const std::optional<std::string>& prefer) {
  ContentPick pick = node_.control().Call(
      [&] { return PickOnControl(request, digest, prefer); });
  auto* picked = std::get_if<PickedAttempt>(&pick);
  if (picked == nullptr) {
    return pick;
  }
  auto located = Locate(admitted, picked->endpoint.name);
  if (!located.has_value()) {
    Report(picked->endpoint.name, AttemptResult::kAbandoned);
    EndContent(picked->attempt, digest, ContentEnd::kOther);
    return NoEndpointAvailable{};
  }
  picked->endpoint = *std::move(located);
  return pick;
}

void EntryControl::EndContent(uint64_t attempt,
                              const std::string& digest,
                              ContentEnd end) {
  node_.control().Post([this, attempt, digest, end] {
    const quarantine::EndedAttempt ended = core_.quarantine.OnEnded(
        attempt, end == ContentEnd::kCrashed, end == ContentEnd::kAnswered,
        common::Clock::now());
    if (ended.quarantines) {
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
        core_.retry_budget.OnSuccess();
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
