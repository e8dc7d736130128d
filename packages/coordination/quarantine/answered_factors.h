#ifndef COORDINATION_QUARANTINE_ANSWERED_FACTORS_H_
#define COORDINATION_QUARANTINE_ANSWERED_FACTORS_H_

#include <cstddef>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "common/time.h"

namespace wagtailshore::quarantine {

// When requests with a factor were last answered. Evicts the factor whose last
// answer is the oldest.
class AnsweredFactors {
 public:
  explicit AnsweredFactors(size_t max_size) : max_size_(max_size) {}

  void Mark(const std::string& digest, common::Time now) {
    const auto found = by_digest_.find(digest);
    if (found != by_digest_.end()) {
      by_age_.erase(found->second);
    }
    by_age_.emplace_back(digest, now);
    by_digest_[digest] = std::prev(by_age_.end());
    if (by_age_.size() > max_size_) {
      by_digest_.erase(by_age_.front().first);
      by_age_.pop_front();
    }
  }

  std::optional<common::Time> LastAnswered(const std::string& digest) const {
    const auto found = by_digest_.find(digest);
    if (found == by_digest_.end()) {
      return std::nullopt;
    }
    return found->second->second;
  }

 private:
  using Entry = std::pair<std::string, common::Time>;

  size_t max_size_;
  // The oldest first.
  std::list<Entry> by_age_;
  std::map<std::string, std::list<Entry>::iterator> by_digest_;
};

}  // namespace wagtailshore::quarantine

#endif  // COORDINATION_QUARANTINE_ANSWERED_FACTORS_H_
