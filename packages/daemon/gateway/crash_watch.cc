#include "daemon/gateway/crash_watch.h"

#include <algorithm>
#include <utility>

#include "common/event_log.h"
#include "common/strings.h"

namespace wagtailshore::gateway {
namespace {

// An entry lapses after this many heartbeats without a renewal.
constexpr int kHeartbeatsToLapse = 3;
// Added to the time within which the list shows that a process ended.
constexpr common::Duration kListMargin = common::seconds(2);
// Attempts at a lost process may still end this long after it was lost.
constexpr common::Duration kLostRetention = common::seconds(30);

// Time after which the list shows whether a process has ended.
common::Duration ListDelay(const CrashWatchOptions& options) {
  return kHeartbeatsToLapse * options.endpoint_heartbeat +
         options.endpoints_period + kListMargin;
}

}  // namespace

CrashWatch::CrashWatch(event_loop::EventLoop& loop,
                       http_channel::HttpCaller& caller,
                       const CrashWatchOptions& options,
                       store_era::StoreEra& era,
                       store_revisions::StoreRevisions& revisions,
                       const fleet::Fleet& fleet)
    : loop_(loop),
      options_(options),
      fleet_(fleet),
      quarantine_({}),
      exchange_(
          loop,
          caller,
          {.store_address = options.store_address,
           .retention = quarantine::QuarantineOptions{}.retention},
          era,
          revisions,
          [this](const crash_report::CrashReport& report,
                 common::Time detected_at) { OnReported(report, detected_at); },
          [this](const quarantine::Crash& crash) {
            quarantine_.Withdraw(crash, loop_.Now());
          }) {}

quarantine::Verdict CrashWatch::Check(const quarantine::Factors& factors) {
  return quarantine_.Check(factors, loop_.Now());
}

uint64_t CrashWatch::OnSent(const quarantine::Factors& factors,
                            const std::string& process) {
  return quarantine_.OnSent(factors, process);
}

void CrashWatch::OnAnswered(uint64_t attempt) {
  const quarantine::EndedAttempt ended = quarantine_.OnEnded(
      attempt, /*crashed=*/false, /*answered=*/true, loop_.Now());
  std::map<std::string, size_t> crashes;
  for (const quarantine::Crash& crash : ended.cleared) {
    ++crashes[crash.digest];
    exchange_.Remove(crash);
  }
  for (const auto& [digest, count] : crashes) {
    common::LogEvent(
        common::EventId::kContentCleared,
        common::StrCat(quarantine::LogField(digest), " crashes=", count));
  }
}

void CrashWatch::OnAbandoned(uint64_t attempt) {
  quarantine_.OnEnded(attempt, /*crashed=*/false, /*answered=*/false,
                      loop_.Now());
}

void CrashWatch::OnUnanswered(uint64_t attempt, const std::string& process) {
  quarantine_.OnUnanswered(attempt);
  if (const auto lost = lost_.find(process); lost != lost_.end()) {
    RecordCrash(attempt, lost->second);
    return;
  }
  const auto listed = listed_.find(quarantine::EndpointNameOf(process));
  const bool may_have_crashed = listed != listed_.end() &&
                                listed->second.process == process &&
                                !listed->second.draining;
  if (!may_have_crashed || unresolved_attempts_ >= options_.max_unresolved) {
    OnAbandoned(attempt);
    return;
  }
  ++unresolved_attempts_;
  const common::Time until = loop_.Now() + ListDelay(options_);
  unresolved_[process].attempts.push_back({.number = attempt, .until = until});
  loop_.RunAt(until, [this, process, until] { Release(process, until); });
  ScheduleProbe(process);
}

void CrashWatch::ScheduleProbe(const std::string& process) {
  Unresolved& unresolved = unresolved_[process];
  if (unresolved.probe_pending) {
    return;
  }
  unresolved.probe_pending = true;
  loop_.RunAfter(options_.probe_delay, [this, process] { Probe(process); });
}

void CrashWatch::Probe(const std::string& process) {
  const fleet::EndpointRecord* endpoint =
      fleet_.Find(quarantine::EndpointNameOf(process));
  const auto found = unresolved_.find(process);
  if (found == unresolved_.end() || endpoint == nullptr) {
    return;
  }
  found->second.probe = std::make_unique<stream_socket::ConnectProbe>(
      loop_, endpoint->address, options_.probe_timeout,
      [this, process, failure_domain = endpoint->failure_domain,
       probed_at = loop_.Now()](bool accepted) {
        // The probe calls this function, so it is destroyed after the call.
        loop_.Post([this, process, failure_domain, probed_at, accepted] {
          OnProbed(process, failure_domain, probed_at, accepted);
        });
      });
}

void CrashWatch::OnProbed(const std::string& process,
                          const std::string& failure_domain,
                          common::Time probed_at,
                          bool accepted) {
  const auto found = unresolved_.find(process);
  if (found == unresolved_.end()) {
    return;
  }
  found->second.probe.reset();
  found->second.probe_pending = false;
  // If it accepts, it may still have restarted before the probe, which the list
  // will show.
  if (accepted) {
    common::LogEvent(
        common::EventId::kEndpointProbed,
        common::StrCat("endpoint=", process,
                       " unanswered_attempts=", found->second.attempts.size()));
  } else {
    const bool silent = loop_.Now() >= probed_at + options_.probe_timeout;
    OnProcessLost(
        process, failure_domain,
        silent ? LossEvidence::kSilent : LossEvidence::kRefusesConnections);
  }
}

void CrashWatch::Release(const std::string& process, common::Time now) {
  const auto found = unresolved_.find(process);
  if (found == unresolved_.end()) {
    return;
  }
  unresolved_attempts_ -=
      std::erase_if(found->second.attempts, [&](const auto& attempt) {
        if (attempt.until > now) {
          return false;
        }
        OnAbandoned(attempt.number);
        return true;
      });
  if (found->second.attempts.empty()) {
    unresolved_.erase(found);
  }
}

void CrashWatch::OnProcessLost(const std::string& process,
                               const std::string& failure_domain,
                               LossEvidence evidence) {
  const common::Time now = loop_.Now();
  std::erase_if(lost_, [&](const auto& item) {
    return item.second.at + kLostRetention <= now;
  });
  const LostProcess lost = {
      .failure_domain = failure_domain, .at = now, .evidence = evidence};
  lost_[process] = lost;
  quarantine_.OnEndpointLost(process, failure_domain, now, now);
  const auto found = unresolved_.find(process);
  if (found == unresolved_.end()) {
    return;
  }
  const std::vector<UnansweredAttempt> attempts =
      std::move(found->second.attempts);
  unresolved_attempts_ -= attempts.size();
  unresolved_.erase(found);
  common::LogEvent(
      common::EventId::kEndpointLost,
      common::StrCat("endpoint=", process, " failure_domain=", failure_domain,
                     " evidence=", common::NameOf(kLossEvidenceNames, evidence),
                     " unanswered_attempts=", attempts.size()));
  for (const UnansweredAttempt& attempt : attempts) {
    RecordCrash(attempt.number, lost);
  }
  loop_.RunAfter(ListDelay(options_),
                 [this, process, now] { VerifyLoss(process, now); });
}

void CrashWatch::RecordCrash(uint64_t attempt, const LostProcess& lost) {
  const quarantine::EndedAttempt ended = quarantine_.OnEnded(
      attempt, /*crashed=*/true, /*answered=*/false, loop_.Now());
  for (const quarantine::Crash& crash : ended.recorded) {
    Report(crash, lost);
    common::LogEvent(common::EventId::kContentSuspected, FieldsOf(crash));
  }
  LogQuarantinedLater();
}

void CrashWatch::Report(const quarantine::Crash& crash,
                        const LostProcess& lost) {
  const common::Time now = loop_.Now();
  if (lost.evidence != LossEvidence::kSilent) {
    exchange_.Report(crash, lost.failure_domain, now);
    return;
  }
  loop_.RunAfter(options_.silent_report_delay, [this, crash, lost, now] {
    if (quarantine_.Counts(crash)) {
      exchange_.Report(crash, lost.failure_domain, now);
    }
  });
}

void CrashWatch::VerifyLoss(const std::string& process, common::Time lost_at) {
  const auto read_at = fleet_.read_at();
  const auto relisting_end = fleet_.relisting_ends_at();
  const common::Time now = loop_.Now();
  const bool list_is_current =
      read_at.has_value() &&
      *read_at >= lost_at + ListDelay(options_) - options_.endpoints_period &&
      (!relisting_end.has_value() || *relisting_end < now);
  if (!list_is_current) {
    if (now < lost_at + kLostRetention) {
      loop_.RunAfter(options_.endpoints_period, [this, process, lost_at] {
        VerifyLoss(process, lost_at);
      });
    }
    return;
  }
  const fleet::EndpointRecord* endpoint =
      fleet_.Find(quarantine::EndpointNameOf(process));
  // Without a start time a restarted process cannot be told from this one.
  if (endpoint == nullptr || endpoint->started_at_ms == 0 ||
      fleet::ProcessName(*endpoint) != process) {
    return;
  }
  lost_.erase(process);
  const std::vector<quarantine::Crash> withdrawn =
      quarantine_.WithdrawEndpoint(process, now);
  for (const quarantine::Crash& crash : withdrawn) {
    exchange_.Remove(crash);
  }
  common::LogEvent(
      common::EventId::kCrashWithdrawn,
      common::StrCat("endpoint=", process, " contents=", withdrawn.size()));
}

void CrashWatch::OnFleetChange() {
  std::vector<ListedProcess> ended;
  for (const auto& [id, listed] : listed_) {
    const fleet::EndpointRecord* endpoint = fleet_.Find(id);
    if (endpoint == nullptr ||
        fleet::ProcessName(*endpoint) != listed.process) {
      ended.push_back(listed);
    }
  }
  listed_.clear();
  for (const auto& [id, endpoint] : fleet_.endpoints()) {
    listed_[id] = {.process = fleet::ProcessName(endpoint),
                   .failure_domain = endpoint.failure_domain,
                   .draining = endpoint.draining};
  }
  for (const ListedProcess& process : ended) {
    if (process.draining) {
      Release(process.process, common::Time::max());
    } else if (!lost_.contains(process.process)) {
      OnProcessLost(process.process, process.failure_domain,
                    LossEvidence::kNotListed);
    }
  }
}

void CrashWatch::OnReported(const crash_report::CrashReport& report,
                            common::Time detected_at) {
  const common::Time now = loop_.Now();
  const common::Duration retention = quarantine::QuarantineOptions{}.retention;
  if (detected_at + retention <= now) {
    return;
  }
  const quarantine::Crash& crash = report.crash;
  quarantine_.OnEndpointLost(ProcessOf(crash), report.failure_domain,
                             detected_at, now);
  if (quarantine_.WasAnswered(crash.digest, detected_at)) {
    exchange_.Remove(crash);
    return;
  }
  if (quarantine_.CrashesOf(crash.digest).contains(crash.name)) {
    return;
  }
  quarantine_.Merge({{.digest = crash.digest,
                      .crashes = {crash.name},
                      .ends_in = detected_at + retention - now}},
                    now);
  // Only a quarantine is logged: each gateway gets every report, and the one
  // that observed the crash has logged it.
  LogQuarantinedLater();
}

void CrashWatch::LogQuarantinedLater() {
  if (std::exchange(log_pending_, true)) {
    return;
  }
  loop_.Post([this] {
    log_pending_ = false;
    LogQuarantined();
  });
}

void CrashWatch::LogQuarantined() {
  for (const std::string& digest : quarantine_.TakeNewlyQuarantined()) {
    const std::set<std::string> crashes = quarantine_.CrashesOf(digest);
    if (!crashes.empty()) {
      common::LogEvent(common::EventId::kContentQuarantined,
                       FieldsOf({.digest = digest, .name = *crashes.rbegin()}));
    }
  }
}

std::string CrashWatch::FieldsOf(const quarantine::Crash& crash) const {
  return common::StrCat(
      quarantine::LogField(crash.digest), " endpoint=", ProcessOf(crash),
      " crashes=", quarantine_.CrashesOf(crash.digest).size());
}

}  // namespace wagtailshore::gateway
