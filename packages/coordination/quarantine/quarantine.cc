#include "coordination/quarantine/quarantine.h"

#include <algorithm>

#include "common/invariant.h"
#include "common/strings.h"

namespace wagtailshore::quarantine {
namespace {

// Endpoints that one content may cost.
constexpr size_t kMaxCrashes = 2;
// What ends sooner is not learned from others any more. Longer than a message
// takes, so that entries cannot keep a record alive by telling each other.
constexpr common::Duration kLeastLearned = common::seconds(5);

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
      if (!proven_.contains(digest)) {
        rules.pin = attempt.endpoint;
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
  in_flight_[number] = {.digest = digest,
                        .endpoint = endpoint,
                        .generation = generations_[endpoint]};
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
      Prove(ended.digest);
    }
    const bool clears =
        answered && content != nullptr && content->crashes.size() < kMaxCrashes;
    if (clears) {
      cleared_[ended.digest] = std::move(*content);
      contents_.erase(ended.digest);
    }
    return false;
  }
  uint64_t& generation = generations_[ended.endpoint];
  generation = std::max(generation, ended.generation + 1);
  Content& crashed_content = contents_[ended.digest];
  const bool is_new =
      crashed_content.crashes
          .insert(common::StrCat(ended.endpoint, "#", ended.generation))
          .second;
  crashed_content.until = now + options_.wind_back;
  const bool quarantined =
      is_new && crashed_content.crashes.size() == kMaxCrashes;
  Bound();
  return quarantined;
}

std::vector<SharedContent> Quarantine::Share(common::Time now) const {
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

void Quarantine::Learn(const std::vector<SharedContent>& contents,
                       common::Time now) {
  for (const SharedContent& shared : contents) {
    if (shared.ends_in < kLeastLearned) {
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
            content.until, now + std::min(shared.ends_in, options_.wind_back));
      }
    }
  }
  Bound();
}

void Quarantine::Prove(const std::string& digest) {
  if (!proven_.insert(digest).second) {
    return;
  }
  proven_order_.push_back(digest);
  if (proven_order_.size() > options_.max_proven) {
    proven_.erase(proven_order_.front());
    proven_order_.pop_front();
  }
}

void Quarantine::Bound() {
  for (auto* contents : {&contents_, &cleared_}) {
    BoundTo(options_.max_contents, *contents);
  }
}

void Quarantine::BoundTo(size_t max_contents,
                         std::map<std::string, Content>& contents) {
  while (contents.size() > max_contents) {
    contents.erase(std::min_element(contents.begin(), contents.end(),
                                    [](const auto& left, const auto& right) {
                                      return left.second.until <
                                             right.second.until;
                                    }));
  }
}

}  // namespace wagtailshore::quarantine
