#ifndef COORDINATION_FRESHNESS_FRESHNESS_H_
#define COORDINATION_FRESHNESS_FRESHNESS_H_

#include <deque>
#include <optional>

#include "common/time.h"

// Decides how long customers' keys may be accepted while the configuration
// cannot be confirmed with the platform.
namespace wagtailshore::freshness {

struct FreshnessOptions {
  // A revoked key must be refused no later than this after its revocation.
  common::Duration revocation_bound = common::seconds(5);
  // Longest time from the acceptance of a request until it runs.
  common::Duration safety_margin = common::milliseconds(400);
};

// Estimates when the store produced an answer, in the time of this process's
// clock. The store's answers contain the time of its steady clock, and no
// answer is produced before its request was sent: this bounds the difference of
// the two clocks. So the answer of a long poll confirms the state at the end of
// the poll, however late the answer arrives.
class StoreClock {
 public:
  // Returns the earliest time at which the answer can have been produced, from
  // `asked_at` to `received_at`. `store_time` is the store's time in the
  // answer; without it, this is `asked_at`.
  common::Time EarliestAnswerTime(common::Time asked_at,
                                  common::Time received_at,
                                  std::optional<common::Duration> store_time);

 private:
  struct Bound {
    common::Time at;
    // Lower bound of this process's clock minus the store's.
    common::Time offset;
  };

  // Ordered by decreasing offset; the first is the tightest bound.
  std::deque<Bound> bounds_;
};

// The age of the configuration in force. It counts from when the platform was
// asked, as the answer may be as old as the request. Guards against accepting
// revoked keys at an instance that has lost the store, was suspended or is
// partitioned.
class Freshness {
 public:
  explicit Freshness(FreshnessOptions options) : options_(options) {}

  // The platform confirmed the configuration in force in the answer to a
  // request that was sent at `asked_at`.
  void OnConfirmed(common::Time asked_at);

  // Whether a key that the configuration contains may be accepted at `now`.
  bool MayTrustKeys(common::Time now) const;
  // Returns the age, or nullopt before the first confirmation.
  std::optional<common::Duration> Age(common::Time now) const;

 private:
  FreshnessOptions options_;
  std::optional<common::Time> confirmed_at_;
};

}  // namespace wagtailshore::freshness

#endif  // COORDINATION_FRESHNESS_FRESHNESS_H_
