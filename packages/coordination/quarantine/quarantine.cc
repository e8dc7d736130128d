#include "coordination/quarantine/quarantine.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "common/invariant.h"
#include "common/strings.h"

namespace wagtailshore::quarantine {
namespace {

// Endpoint crashes after which a content is quarantined.
constexpr size_t kMaxCrashes = 2;
// The same for crashes of every kind, also those that an outage explains.
// Several contents that crash endpoints at the same time look like an outage to
// each other, and an innocent content is answered or given up before.
constexpr size_t kMaxCrashesWithOutages = 4;
// Records of other entries that expire sooner are not merged. Longer than a
// message takes to arrive, so that entries cannot extend a record's life by
// sending it back and forth.
constexpr common::Duration kMinMergedLifetime = common::seconds(5);

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

}  // namespace

std::string ProcessOf(const Crash& crash) {
  return ProcessOfName(crash.name);
}

std::string EndpointNameOf(const std::string& process) {
  return process.substr(0, process.rfind('/'));
}

bool Quarantine::IsSuspect(const std::string& digest) const {
  return contents_.contains(digest);
}

Quarantine::Content* Quarantine::Find(const std::string& digest,
                                      common::Time now) {
  const auto found = contents_.find(digest);
  if (found == contents_.end()) {
    return nullptr;
  }
  if (found->second.until <= now) {
    contents_.erase(found);
    return nullptr;
  }
  return &found->second;
}

bool Quarantine::HasTooManyCrashes(const Content& content) const {
  return content.crashes.size() >= kMaxCrashesWithOutages ||
         CountCrashes(content) >= kMaxCrashes;
}

size_t Quarantine::CountCrashes(const Content& content) const {
  return std::count_if(
      content.crashes.begin(), content.crashes.end(),
      [&](const std::string& crash) { return !IsOutage(content, crash); });
}

bool Quarantine::IsOutage(const Content& content,
                          const std::string& crash) const {
  const auto lost = losses_.find(ProcessOfName(crash));
  if (lost == losses_.end()) {
    return false;
  }
  // By endpoint and not by process: until a restart is listed, what the content
  // does to the new process is attributed to the old one.
  std::set<std::string> crashed;
  for (const std::string& name : content.crashes) {
    crashed.insert(EndpointNameOf(ProcessOfName(name)));
  }
  std::set<std::string> others;
  for (const auto& [process, other] : losses_) {
    const common::Duration apart = other.at - lost->second.at;
    if (other.failure_domain == lost->second.failure_domain &&
        std::chrono::abs(apart) <= options_.outage_window &&
        !crashed.contains(other.endpoint)) {
      others.insert(other.endpoint);
    }
  }
  return others.size() >= options_.outage_losses;
}

Verdict Quarantine::Check(const std::string& digest, common::Time now) {
  const Content* content = Find(digest, now);
  if (content != nullptr && HasTooManyCrashes(*content)) {
    return Refused{.ends_in = content->until - now};
  }
  if (content != nullptr && CountCrashes(*content) == 0) {
    content = nullptr;
  }
  MayRun rules;
  for (const auto& [number, attempt] : in_flight_) {
    if (attempt.unanswered) {
      continue;
    }
    if (attempt.digest == digest) {
      if (content != nullptr) {
        return MustWait{};
      }
      if (!known_good_.contains(digest)) {
        rules.pinned_endpoint = attempt.endpoint;
      }
    } else if (content != nullptr && IsSuspect(attempt.digest)) {
      rules.avoid.insert(attempt.endpoint);
    }
  }
  return rules;
}

uint64_t Quarantine::OnSent(const std::string& digest,
                            const std::string& endpoint) {
  if (const auto found = contents_.find(digest); found != contents_.end()) {
    WS_INVARIANT(!HasTooManyCrashes(found->second))
        << "a quarantined content is not sent";
    const size_t crashes = CountCrashes(found->second);
    for (const auto& [number, attempt] : in_flight_) {
      WS_INVARIANT(crashes == 0 || attempt.unanswered ||
                   attempt.digest != digest)
          << "a suspect has one attempt at a time";
    }
  }
  const uint64_t number = next_attempt_++;
  const auto count = crash_counts_.find(endpoint);
  in_flight_[number] = {
      .digest = digest,
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

bool Quarantine::OnEnded(uint64_t attempt,
                         bool crashed,
                         bool answered,
                         common::Time now) {
  const auto found = in_flight_.find(attempt);
  if (found == in_flight_.end()) {
    return false;
  }
  const InFlight ended = std::move(found->second);
  in_flight_.erase(found);
  Content* content = Find(ended.digest, now);
  if (!crashed) {
    if (answered) {
      MarkKnownGood(ended.digest, now);
    }
    // A content that crashes endpoints is never answered, so an answer clears
    // also one that was quarantined while this attempt was in flight.
    if (answered && content != nullptr) {
      cleared_[ended.digest] = std::move(*content);
      contents_.erase(ended.digest);
    }
    return false;
  }
  if (WasAnswered(ended.digest, now)) {
    return false;
  }
  std::erase_if(crash_counts_, [&](const auto& item) {
    return item.second.last + options_.retention <= now;
  });
  CrashCount& count = crash_counts_[ended.endpoint];
  count = {.crashes = std::max(count.crashes, ended.crash_count + 1),
           .last = now};
  Content& crashed_content = contents_[ended.digest];
  const bool was_quarantined = HasTooManyCrashes(crashed_content);
  crashed_content.crashes.insert(
      common::StrCat(ended.endpoint, "#", ended.crash_count));
  crashed_content.until = now + options_.retention;
  const bool quarantined =
      !was_quarantined && HasTooManyCrashes(crashed_content);
  TrimRecords();
  return quarantined;
}

void Quarantine::OnEndpointLost(const std::string& endpoint,
                                const std::string& failure_domain,
                                common::Time lost_at,
                                common::Time now) {
  std::erase_if(losses_, [&](const auto& item) {
    return item.second.at + options_.retention <= now;
  });
  losses_.try_emplace(endpoint, Loss{.endpoint = EndpointNameOf(endpoint),
                                     .failure_domain = failure_domain,
                                     .at = lost_at});
  TrimTo(options_.max_losses, losses_,
         [](const Loss& loss) { return loss.at; });
}

std::vector<Crash> Quarantine::WithdrawEndpoint(const std::string& endpoint) {
  std::vector<Crash> withdrawn;
  for (const auto& [digest, content] : contents_) {
    for (const std::string& crash : content.crashes) {
      if (ProcessOfName(crash) == endpoint) {
        withdrawn.push_back({.digest = digest, .name = crash});
      }
    }
  }
  for (const Crash& crash : withdrawn) {
    Withdraw(crash);
  }
  crash_counts_.erase(endpoint);
  losses_.erase(endpoint);
  return withdrawn;
}

void Quarantine::Withdraw(const Crash& crash) {
  const auto found = contents_.find(crash.digest);
  if (found != contents_.end() && found->second.crashes.erase(crash.name) > 0 &&
      found->second.crashes.empty()) {
    contents_.erase(found);
  }
}

std::set<std::string> Quarantine::CrashesOf(const std::string& digest) const {
  const auto found = contents_.find(digest);
  return found == contents_.end() ? std::set<std::string>()
                                  : found->second.crashes;
}

std::string Quarantine::ContentOf(uint64_t attempt) const {
  const auto found = in_flight_.find(attempt);
  return found == in_flight_.end() ? std::string() : found->second.digest;
}

bool Quarantine::Counts(const Crash& crash) const {
  const auto found = contents_.find(crash.digest);
  return found != contents_.end() &&
         found->second.crashes.contains(crash.name) &&
         !IsOutage(found->second, crash.name);
}

bool Quarantine::IsQuarantined(const std::string& digest,
                               common::Time now) const {
  const auto found = contents_.find(digest);
  return found != contents_.end() && found->second.until > now &&
         HasTooManyCrashes(found->second);
}

std::vector<SharedContent> Quarantine::Export(common::Time now) const {
  std::vector<SharedContent> shared;
  for (const auto& [digest, content] : contents_) {
    if (content.until > now) {
      shared.push_back({.digest = digest,
                        .crashes = content.crashes,
                        .ends_in = content.until - now});
    }
  }
  return shared;
}

void Quarantine::Merge(const std::vector<SharedContent>& contents,
                       common::Time now) {
  for (const SharedContent& shared : contents) {
    if (shared.ends_in < kMinMergedLifetime) {
      continue;
    }
    const auto cleared = cleared_.find(shared.digest);
    for (const std::string& crash : shared.crashes) {
      if (cleared != cleared_.end() &&
          cleared->second.crashes.contains(crash)) {
        continue;
      }
      Content& content = contents_[shared.digest];
      if (content.crashes.insert(crash).second) {
        content.until = std::max(
            content.until, now + std::min(shared.ends_in, options_.retention));
      }
    }
  }
  TrimRecords();
}

void Quarantine::MarkKnownGood(const std::string& digest, common::Time now) {
  const auto [found, is_new] = known_good_.insert_or_assign(digest, now);
  if (!is_new) {
    return;
  }
  known_good_order_.push_back(digest);
  if (known_good_order_.size() > options_.max_known_good) {
    known_good_.erase(known_good_order_.front());
    known_good_order_.pop_front();
  }
}

bool Quarantine::WasAnswered(const std::string& digest,
                             common::Time crashed_at) const {
  const auto answered = known_good_.find(digest);
  return answered != known_good_.end() &&
         answered->second + options_.innocence_time >= crashed_at;
}

void Quarantine::TrimRecords() {
  for (auto* contents : {&contents_, &cleared_}) {
    TrimTo(options_.max_contents, *contents, [](const Content& content) {
      return std::pair(content.crashes.size(), content.until);
    });
  }
}

}  // namespace wagtailshore::quarantine
