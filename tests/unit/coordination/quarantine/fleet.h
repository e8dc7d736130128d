#ifndef UNIT_COORDINATION_QUARANTINE_FLEET_H_
#define UNIT_COORDINATION_QUARANTINE_FLEET_H_

#include <deque>
#include <string>
#include <vector>

#include "common/strings.h"
#include "coordination/quarantine/quarantine.h"

namespace wagtailshore::quarantine {

inline constexpr common::Time kStart{common::seconds(1000)};
// The content that crashes every endpoint that runs it.
inline constexpr char kBadContent[] = "bad";

// Simulates entries that send requests, one of whose contents crashes every
// endpoint that runs it. A crashed endpoint restarts under another name.
class Fleet {
 public:
  Fleet(size_t entries, size_t endpoints)
      : entries_(entries, Quarantine({})), endpoints_(endpoints) {}

  // Sends a request with the content through an entry. Returns whether the
  // quarantine refused it. A request that must wait is dropped.
  bool Send(size_t entry, const std::string& digest, size_t endpoint) {
    const Verdict verdict = entries_[entry].Check({digest}, now_);
    if (std::holds_alternative<Refused>(verdict)) {
      return true;
    }
    const auto* rules = std::get_if<MayRun>(&verdict);
    if (rules == nullptr) {
      return false;
    }
    const std::string name = rules->pinned_endpoint.value_or(NameOf(endpoint));
    if (rules->avoid.contains(name)) {
      return false;
    }
    running_.push_back({.entry = entry,
                        .digest = digest,
                        .endpoint = name,
                        .number = entries_[entry].OnSent({digest}, name)});
    return false;
  }

  // Ends the request that was sent first; the bad content crashes its endpoint.
  void EndFirst() {
    if (running_.empty()) {
      return;
    }
    const Run run = running_.front();
    running_.pop_front();
    if (run.digest != kBadContent) {
      entries_[run.entry].OnEnded(run.number, false, true, now_);
      return;
    }
    ++crashes_;
    for (size_t i = 0; i < endpoints_.size(); ++i) {
      endpoints_[i] += NameOf(i) == run.endpoint ? 1 : 0;
    }
    entries_[run.entry].OnEnded(run.number, true, false, now_);
    for (auto other = running_.begin(); other != running_.end();) {
      if (other->endpoint != run.endpoint) {
        ++other;
        continue;
      }
      entries_[other->entry].OnEnded(other->number, true, false, now_);
      other = running_.erase(other);
    }
  }

  void EndAll() {
    while (!running_.empty()) {
      EndFirst();
    }
  }

  // Sends the records of one entry to another; they arrive after `transit`.
  void SendRecords(size_t from, size_t to, common::Duration transit = {}) {
    const std::vector<SharedRecord> records = entries_[from].Export(now_);
    now_ += transit;
    entries_[to].Merge(records, now_);
  }

  void Advance(common::Duration duration) { now_ += duration; }
  int crashes() const { return crashes_; }

 private:
  struct Run {
    size_t entry = 0;
    std::string digest;
    std::string endpoint;
    uint64_t number = 0;
  };

  std::string NameOf(size_t endpoint) const {
    return common::StrCat("e", endpoint, "/", endpoints_[endpoint]);
  }

  common::Time now_ = kStart;
  std::vector<Quarantine> entries_;
  // Number of restarts of each endpoint.
  std::vector<int> endpoints_;
  std::deque<Run> running_;
  int crashes_ = 0;
};

}  // namespace wagtailshore::quarantine

#endif  // UNIT_COORDINATION_QUARANTINE_FLEET_H_
