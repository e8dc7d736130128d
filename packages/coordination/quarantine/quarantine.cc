#include "coordination/quarantine/quarantine.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "common/digest.h"
#include "common/invariant.h"
#include "common/strings.h"

namespace wagtailshore::quarantine {
namespace {

// Endpoint crashes after which a factor that was never answered is quarantined.
constexpr size_t kMaxCrashes = 2;
// The same for a factor that was answered before, and for crashes of every
// kind, also those that an outage explains. Several factors that crash
// endpoints at the same time look like an outage to each other, and an innocent
// one is answered or given up before.
constexpr size_t kMaxCrashesInAnyCase = 4;
// Records of other entries that expire sooner are not merged. Longer than a
// message takes to arrive, so that entries cannot extend a record's life by
// sending it back and forth.
constexpr common::Duration kMinMergedLifetime = common::seconds(5);

constexpr std::string_view kPartPrefix = "part-";
// Longest id of a part that is used as it is.
constexpr size_t kMaxPartIdSize = 40;

// The process of the crash "PROCESS#NUMBER".
std::string ProcessOfName(const std::string& crash) {
  return crash.substr(0, crash.rfind('#'));
}

// Removes the entry with the smallest key while there are more than `max_size`.
template <typename Map, typename Key>
void TrimTo(size_t max_size, Map& entries, Key key) {
  while (entries.size() > max_size) {
    entries.erase(std::min_element(entries.begin(), entries.end(),
                                   [&](const auto& left, const auto& right) {
                                     return key(left.second) <
                                            key(right.second);
                                   }));
  }
}

bool Contains(const std::set<std::string>& all,
              const std::set<std::string>& some) {
  return std::includes(all.begin(), all.end(), some.begin(), some.end());
}

}  // namespace

std::string PromptPartFactor(std::string_view part_id, std::string_view model) {
  constexpr size_t kModelDigits = 8;
  const std::string id =
      part_id.size() <= kMaxPartIdSize
          ? std::string(part_id)
          : common::Sha256Hex(part_id).substr(0, kMaxPartIdSize);
  return common::StrCat(kPartPrefix, id, "-",
                        common::Sha256Hex(model).substr(0, kModelDigits));
}

FactorKind KindOf(std::string_view factor) {
  return factor.starts_with(kPartPrefix) ? FactorKind::kPromptPart
                                         : FactorKind::kContent;
}

std::string LogField(std::string_view factor) {
  if (KindOf(factor) == FactorKind::kContent) {
    return common::StrCat("content=", factor);
  }
  factor.remove_prefix(kPartPrefix.size());
  return common::StrCat("part=", factor.substr(0, factor.rfind('-')));
}

std::string ProcessOf(const Crash& crash) {
  return ProcessOfName(crash.name);
}

std::string EndpointNameOf(const std::string& process) {
  return process.substr(0, process.rfind('/'));
}

Quarantine::Quarantine(QuarantineOptions options)
    : options_(options),
      answered_contents_(options.max_answered),
      answered_parts_(options.max_answered) {}

AnsweredFactors& Quarantine::AnsweredOf(const std::string& digest) {
  return KindOf(digest) == FactorKind::kContent ? answered_contents_
                                                : answered_parts_;
}

const AnsweredFactors& Quarantine::AnsweredOf(const std::string& digest) const {
  return KindOf(digest) == FactorKind::kContent ? answered_contents_
                                                : answered_parts_;
}

bool Quarantine::IsRestricted(const std::string& digest) const {
  const auto found = records_.find(digest);
  return found != records_.end() &&
         !CountedCrashes(digest, found->second).empty() &&
         !AnsweredOf(digest).LastAnswered(digest).has_value();
}

void Quarantine::OnChange(common::Time now) {
  changed_at_ = now;
}

void Quarantine::JudgeIfChanged() {
  if (changed_at_.has_value()) {
    Judge(*std::exchange(changed_at_, std::nullopt));
  }
}

bool Quarantine::IsQuarantined(const std::string& digest) {
  JudgeIfChanged();
  return quarantined_.contains(digest);
}

std::vector<std::string> Quarantine::TakeNewlyQuarantined() {
  JudgeIfChanged();
  const std::set<std::string> taken = std::exchange(newly_quarantined_, {});
  return {taken.begin(), taken.end()};
}

bool Quarantine::IsRefused(const Factors& factors, const std::string& digest) {
  JudgeIfChanged();
  const auto quarantined = quarantined_.find(digest);
  if (quarantined == quarantined_.end()) {
    return false;
  }
  if (HasManyCrashes(digest, records_.at(digest))) {
    return true;
  }
  return std::all_of(quarantined->second.begin(), quarantined->second.end(),
                     [&](const std::string& rival) {
                       return std::find(factors.begin(), factors.end(),
                                        rival) != factors.end();
                     });
}

bool Quarantine::HasManyCrashes(const std::string& digest,
                                const Record& record) const {
  if (record.crashes.size() < kMaxCrashesInAnyCase) {
    return false;
  }
  return KindOf(digest) == FactorKind::kContent ||
         CountedCrashes(digest, record).size() >= kMaxCrashesInAnyCase;
}

size_t Quarantine::MaxCrashes(const std::string& digest,
                              common::Time now) const {
  const auto answered = AnsweredOf(digest).LastAnswered(digest);
  return answered.has_value() && *answered + options_.retention > now
             ? kMaxCrashesInAnyCase
             : kMaxCrashes;
}

Quarantine::CrashNames Quarantine::CountedCrashes(const std::string& digest,
                                                  const Record& record) const {
  CrashNames counted;
  // Crashes that an outage explains, by time.
  std::map<common::Time, std::string> outage_crashes;
  for (const std::string& crash : record.crashes) {
    if (!IsOutage(digest, record, crash)) {
      counted.insert(crash);
    } else {
      outage_crashes[losses_.at(ProcessOfName(crash)).at] = crash;
    }
  }
  if (KindOf(digest) != FactorKind::kPromptPart) {
    return counted;
  }
  // A part that many requests have at the same time looks like an outage when
  // it crashes what they meet, but does so again when the outage would be over.
  std::optional<common::Time> began;
  for (const auto& [at, crash] : outage_crashes) {
    if (!began.has_value() || at > *began + options_.outage_duration) {
      counted.insert(crash);
      began = at;
    }
  }
  return counted;
}

bool Quarantine::IsOutage(const std::string& digest,
                          const Record& record,
                          const std::string& crash) const {
  const auto lost = losses_.find(ProcessOfName(crash));
  if (lost == losses_.end()) {
    return false;
  }
  // By endpoint and not by process: until a restart is listed, what the factor
  // does to the new process is attributed to the old one.
  std::set<std::string> own = {EndpointNameOf(ProcessOfName(crash))};
  if (KindOf(digest) == FactorKind::kContent) {
    for (const std::string& name : record.crashes) {
      own.insert(EndpointNameOf(ProcessOfName(name)));
    }
  }
  const auto domain = losses_by_domain_.find(lost->second.failure_domain);
  WS_INVARIANT(domain != losses_by_domain_.end()) << "losses are indexed";
  const auto end =
      domain->second.upper_bound(lost->second.at + options_.outage_window);
  std::set<std::string_view> others;
  for (auto other =
           domain->second.lower_bound(lost->second.at - options_.outage_window);
       other != end && others.size() < options_.outage_losses; ++other) {
    if (!own.contains(other->second)) {
      others.insert(other->second);
    }
  }
  return others.size() >= options_.outage_losses;
}

std::map<std::string, Quarantine::CrashNames> Quarantine::Candidates(
    common::Time now) const {
  std::map<std::string, CrashNames> candidates;
  for (const auto& [digest, record] : records_) {
    if (record.crashes.size() < kMaxCrashes) {
      continue;
    }
    CrashNames counted = HasManyCrashes(digest, record)
                             ? record.crashes
                             : CountedCrashes(digest, record);
    if (counted.size() >= MaxCrashes(digest, now)) {
      candidates[digest] = std::move(counted);
    }
  }
  return candidates;
}

void Quarantine::Judge(common::Time now) {
  std::erase_if(records_,
                [&](const auto& item) { return item.second.until <= now; });
  std::map<std::string, CrashNames> candidates = Candidates(now);
  std::map<std::string, std::vector<std::string>> by_crash;
  for (const auto& [digest, crashes] : candidates) {
    for (const std::string& crash : crashes) {
      by_crash[crash].push_back(digest);
    }
  }
  // Factors without which some crash has no explanation, and all crashes that
  // they explain.
  std::set<std::string> essential;
  CrashNames explained;
  for (const auto& [crash, digests] : by_crash) {
    if (digests.size() == 1) {
      essential.insert(digests.front());
      explained.insert(candidates[digests.front()].begin(),
                       candidates[digests.front()].end());
    }
  }
  for (auto candidate = candidates.begin(); candidate != candidates.end();) {
    auto& [digest, crashes] = *candidate;
    if (!essential.contains(digest)) {
      std::erase_if(crashes, [&](const std::string& crash) {
        return explained.contains(crash);
      });
    }
    candidate = crashes.size() < MaxCrashes(digest, now)
                    ? candidates.erase(candidate)
                    : std::next(candidate);
  }
  const auto before = std::exchange(quarantined_, {});
  for (const auto& [digest, crashes] : candidates) {
    if (!before.contains(digest)) {
      newly_quarantined_.insert(digest);
    }
    Rivals& rivals = quarantined_[digest];
    if (KindOf(digest) != FactorKind::kPromptPart ||
        essential.contains(digest)) {
      continue;
    }
    for (const auto& [other, others_crashes] : candidates) {
      if (other != digest && KindOf(other) == FactorKind::kPromptPart &&
          Contains(others_crashes, crashes)) {
        rivals.insert(other);
      }
    }
  }
}

Verdict Quarantine::Check(const Factors& factors, common::Time now) {
  const bool expired = std::any_of(
      factors.begin(), factors.end(), [&](const std::string& digest) {
        const auto found = records_.find(digest);
        return found != records_.end() && found->second.until <= now;
      });
  if (expired) {
    OnChange(now);
  }
  std::set<std::string> restricted;
  for (const std::string& digest : factors) {
    if (IsRefused(factors, digest)) {
      return Refused{.ends_in = records_.at(digest).until - now};
    }
    if (IsRestricted(digest)) {
      restricted.insert(digest);
    }
  }
  MayRun rules;
  for (const auto& [number, attempt] : in_flight_) {
    if (attempt.unanswered) {
      continue;
    }
    bool runs_suspect = false;
    for (const std::string& digest : attempt.factors) {
      if (restricted.contains(digest)) {
        return MustWait{};
      }
      const bool is_shared =
          std::find(factors.begin(), factors.end(), digest) != factors.end();
      if (is_shared && !AnsweredOf(digest).LastAnswered(digest).has_value()) {
        rules.pinned_endpoint = attempt.endpoint;
      }
      runs_suspect = runs_suspect || records_.contains(digest);
    }
    if (!restricted.empty() && runs_suspect) {
      rules.avoid.insert(attempt.endpoint);
    }
  }
  return rules;
}

uint64_t Quarantine::OnSent(const Factors& factors,
                            const std::string& endpoint) {
  for (const std::string& digest : factors) {
    WS_INVARIANT(!IsRefused(factors, digest))
        << "a quarantined factor is not sent";
    if (!IsRestricted(digest)) {
      continue;
    }
    for (const auto& [number, attempt] : in_flight_) {
      WS_INVARIANT(attempt.unanswered ||
                   std::find(attempt.factors.begin(), attempt.factors.end(),
                             digest) == attempt.factors.end())
          << "a suspect has one attempt at a time";
    }
  }
  const uint64_t number = next_attempt_++;
  const auto count = crash_counts_.find(endpoint);
  in_flight_[number] = {
      .factors = factors,
      .endpoint = endpoint,
      .crash_count = count == crash_counts_.end() ? 0 : count->second.crashes};
  return number;
}

void Quarantine::OnUnanswered(uint64_t attempt) {
  const auto found = in_flight_.find(attempt);
  if (found != in_flight_.end()) {
    found->second.unanswered = true;
  }
}

std::vector<Crash> Quarantine::Clear(const Factors& factors, common::Time now) {
  std::vector<Crash> cleared;
  for (const std::string& digest : factors) {
    AnsweredOf(digest).Mark(digest, now);
    const auto found = records_.find(digest);
    if (found == records_.end()) {
      continue;
    }
    Record& record = cleared_[digest];
    for (const std::string& name : found->second.crashes) {
      cleared.push_back({.digest = digest, .name = name});
      record.crashes.insert(name);
    }
    record.until = std::max(record.until, found->second.until);
    records_.erase(found);
  }
  if (!cleared.empty()) {
    TrimRecords();
    OnChange(now);
  }
  return cleared;
}

EndedAttempt Quarantine::OnEnded(uint64_t attempt,
                                 bool crashed,
                                 bool answered,
                                 common::Time now) {
  const auto found = in_flight_.find(attempt);
  if (found == in_flight_.end()) {
    return {};
  }
  const InFlight ended = std::move(found->second);
  in_flight_.erase(found);
  if (!crashed) {
    // A factor that crashes endpoints is never answered, so an answer clears
    // also one that was quarantined while this attempt was in flight.
    return {.cleared =
                answered ? Clear(ended.factors, now) : std::vector<Crash>()};
  }
  Factors suspects;
  for (const std::string& digest : ended.factors) {
    if (!WasAnswered(digest, now)) {
      suspects.push_back(digest);
    }
  }
  if (suspects.empty()) {
    return {};
  }
  std::erase_if(crash_counts_, [&](const auto& item) {
    return item.second.last + options_.retention <= now;
  });
  CrashCount& count = crash_counts_[ended.endpoint];
  count = {.crashes = std::max(count.crashes, ended.crash_count + 1),
           .last = now};
  const std::string name =
      common::StrCat(ended.endpoint, "#", ended.crash_count);
  JudgeIfChanged();
  const auto were_quarantined = quarantined_;
  EndedAttempt result;
  for (const std::string& digest : suspects) {
    Record& record = records_[digest];
    record.until = now + options_.retention;
    if (record.crashes.insert(name).second) {
      result.recorded.push_back({.digest = digest, .name = name});
    }
  }
  TrimRecords();
  OnChange(now);
  JudgeIfChanged();
  result.quarantines = std::any_of(suspects.begin(), suspects.end(),
                                   [&](const std::string& digest) {
                                     return quarantined_.contains(digest) &&
                                            !were_quarantined.contains(digest);
                                   });
  return result;
}

void Quarantine::OnEndpointLost(const std::string& endpoint,
                                const std::string& failure_domain,
                                common::Time lost_at,
                                common::Time now) {
  const auto [added, is_new] =
      losses_.try_emplace(endpoint, Loss{.endpoint = EndpointNameOf(endpoint),
                                         .failure_domain = failure_domain,
                                         .at = lost_at});
  if (!is_new) {
    return;
  }
  losses_by_domain_[failure_domain].emplace(lost_at, added->second.endpoint);
  for (auto loss = losses_.begin(); loss != losses_.end();) {
    const auto next = std::next(loss);
    if (loss->second.at + options_.retention <= now) {
      RemoveLoss(loss);
    }
    loss = next;
  }
  while (losses_.size() > options_.max_losses) {
    RemoveLoss(std::min_element(losses_.begin(), losses_.end(),
                                [](const auto& left, const auto& right) {
                                  return left.second.at < right.second.at;
                                }));
  }
  OnChange(now);
}

void Quarantine::RemoveLoss(std::map<std::string, Loss>::iterator loss) {
  const auto domain = losses_by_domain_.find(loss->second.failure_domain);
  const auto [first, last] = domain->second.equal_range(loss->second.at);
  domain->second.erase(std::find_if(first, last, [&](const auto& item) {
    return item.second == loss->second.endpoint;
  }));
  if (domain->second.empty()) {
    losses_by_domain_.erase(domain);
  }
  losses_.erase(loss);
}

std::vector<Crash> Quarantine::WithdrawEndpoint(const std::string& endpoint,
                                                common::Time now) {
  std::vector<Crash> withdrawn;
  for (const auto& [digest, record] : records_) {
    for (const std::string& crash : record.crashes) {
      if (ProcessOfName(crash) == endpoint) {
        withdrawn.push_back({.digest = digest, .name = crash});
      }
    }
  }
  for (const Crash& crash : withdrawn) {
    Withdraw(crash, now);
  }
  crash_counts_.erase(endpoint);
  if (const auto loss = losses_.find(endpoint); loss != losses_.end()) {
    RemoveLoss(loss);
  }
  OnChange(now);
  return withdrawn;
}

void Quarantine::Withdraw(const Crash& crash, common::Time now) {
  const auto found = records_.find(crash.digest);
  if (found == records_.end() || found->second.crashes.erase(crash.name) == 0) {
    return;
  }
  if (found->second.crashes.empty()) {
    records_.erase(found);
  }
  OnChange(now);
}

std::set<std::string> Quarantine::CrashesOf(const std::string& digest) const {
  const auto found = records_.find(digest);
  return found == records_.end() ? std::set<std::string>()
                                 : found->second.crashes;
}

bool Quarantine::Counts(const Crash& crash) const {
  const auto found = records_.find(crash.digest);
  return found != records_.end() &&
         found->second.crashes.contains(crash.name) &&
         !IsOutage(crash.digest, found->second, crash.name);
}

std::vector<SharedRecord> Quarantine::Export(common::Time now) const {
  std::vector<SharedRecord> shared;
  for (const auto& [digest, record] : records_) {
    if (record.until > now) {
      shared.push_back({.digest = digest,
                        .crashes = record.crashes,
                        .ends_in = record.until - now});
    }
  }
  return shared;
}

void Quarantine::Merge(const std::vector<SharedRecord>& records,
                       common::Time now) {
  for (const SharedRecord& shared : records) {
    if (shared.ends_in < kMinMergedLifetime) {
      continue;
    }
    const auto cleared = cleared_.find(shared.digest);
    for (const std::string& crash : shared.crashes) {
      if (cleared != cleared_.end() &&
          cleared->second.crashes.contains(crash)) {
        continue;
      }
      Record& record = records_[shared.digest];
      if (record.crashes.insert(crash).second) {
        record.until = std::max(
            record.until, now + std::min(shared.ends_in, options_.retention));
      }
    }
  }
  TrimRecords();
  OnChange(now);
}

bool Quarantine::WasAnswered(const std::string& digest,
                             common::Time crashed_at) const {
  const auto answered = AnsweredOf(digest).LastAnswered(digest);
  return answered.has_value() &&
         *answered + options_.innocence_time >= crashed_at;
}

void Quarantine::TrimRecords() {
  for (auto* records : {&records_, &cleared_}) {
    TrimTo(options_.max_records, *records, [](const Record& record) {
      return std::pair(record.crashes.size(), record.until);
    });
  }
}

}  // namespace wagtailshore::quarantine
