#include "coordination/quarantine/quarantine.h"

#include <algorithm>
#include <utility>

#include "common/invariant.h"
#include "common/strings.h"

namespace wagtailshore::quarantine {
namespace {

// Endpoint crashes after which a content is quarantined.
constexpr size_t kMaxCrashes = 2;
// Records of other entries that expire sooner are not merged. Longer than a
// message takes to arrive, so that entries cannot extend a record's life by
// sending it back and forth.
constexpr common::Duration kMinMergedLifetime = common::seconds(5);

}  // namespace

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

Verdict Quarantine::Check(const std::string& digest, common::Time now) {
  const Content* content = Find(digest, now);
  if (content != nullptr && content->crashes.size() >= kMaxCrashes) {
    return Refused{.ends_in = content->until - now};
  }
  MayRun rules;
  for (const auto& [number, attempt] : in_flight_) {
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
  if (IsSuspect(digest)) {
    WS_INVARIANT(contents_.at(digest).crashes.size() < kMaxCrashes)
        << "a quarantined content is not sent";
    for (const auto& [number, attempt] : in_flight_) {
      WS_INVARIANT(attempt.digest != digest)
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
      MarkKnownGood(ended.digest);
    }
    const bool clears =
        answered && content != nullptr && content->crashes.size() < kMaxCrashes;
    if (clears) {
      cleared_[ended.digest] = std::move(*content);
      contents_.erase(ended.digest);
    }
    return false;
  }
  std::erase_if(crash_counts_, [&](const auto& item) {
    return item.second.last + options_.retention <= now;
  });
  CrashCount& count = crash_counts_[ended.endpoint];
  count = {.crashes = std::max(count.crashes, ended.crash_count + 1),
           .last = now};
  Content& crashed_content = contents_[ended.digest];
  const bool is_new =
      crashed_content.crashes
          .insert(common::StrCat(ended.endpoint, "#", ended.crash_count))
          .second;
  crashed_content.until = now + options_.retention;
  const bool quarantined =
      is_new && crashed_content.crashes.size() == kMaxCrashes;
  TrimRecords();
  return quarantined;
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

void Quarantine::MarkKnownGood(const std::string& digest) {
  if (!known_good_.insert(digest).second) {
    return;
  }
  known_good_order_.push_back(digest);
  if (known_good_order_.size() > options_.max_known_good) {
    known_good_.erase(known_good_order_.front());
    known_good_order_.pop_front();
  }
}

void Quarantine::TrimRecords() {
  for (auto* contents : {&contents_, &cleared_}) {
    TrimTo(options_.max_contents, *contents);
  }
}

void Quarantine::TrimTo(size_t max_contents,
                        std::map<std::string, Content>& contents) {
  while (contents.size() > max_contents) {
    const auto key = [](const auto& item) {
      return std::pair(item.second.crashes.size(), item.second.until);
    };
    contents.erase(std::min_element(contents.begin(), contents.end(),
                                    [&](const auto& left, const auto& right) {
                                      return key(left) < key(right);
                                    }));
  }
}

}  // namespace wagtailshore::quarantine
