#ifndef COORDINATION_FRESHNESS_FRESHNESS_H_
#define COORDINATION_FRESHNESS_FRESHNESS_H_

#include <deque>
#include <optional>

#include "common/time.h"

// How long a customer's key may be trusted without new word of the
// configuration.
namespace wagtailshore::freshness {

struct FreshnessOptions {
  // A key that was taken away must be refused this long after the change.
  common::Duration revocation_bound = common::seconds(5);
  // Time that a request may take from the decision until it runs.
  common::Duration safety_margin = common::milliseconds(400);
};

// Tells when the store gave an answer, by this process's clock. The store's
// answers carry its steady clock, and an answer to a question of a moment
// cannot have been given before it: that bounds the difference of the two
// clocks. A long wait's answer thus proves what held at its end, however late
// it comes.
class StoreClock {
 public:
  // The latest moment before which the answer cannot have been given; between
  // `asked_at` and `received_at`.
  common::Time AnsweredAfter(common::Time asked_at,
                             common::Time received_at,
                             common::Duration store_time);

 private:
  struct Bound {
    common::Time at;
    // Least difference between this clock and the store's.
    common::Time offset;
  };

  // By falling offset; the first is the tightest.
  std::deque<Bound> bounds_;
};

// Age of the configuration in force. It counts from the moment at which the
// platform was asked, as the answer may be as old as that. Answers the load of
// instances that lose the store, freeze or are partitioned.
class Freshness {
 public:
  explicit Freshness(FreshnessOptions options) : options_(options) {}

  // The platform confirmed the configuration in force in an answer to a
  // question of `asked_at`.
  void OnConfirmed(common::Time asked_at);

  // Whether a key that the configuration holds may be accepted at `now`.
  bool MayTrustKeys(common::Time now) const;
  // The age; nothing before the first confirmation.
  std::optional<common::Duration> Age(common::Time now) const;

 private:
  FreshnessOptions options_;
  std::optional<common::Time> confirmed_at_;
};

}  // namespace wagtailshore::freshness

#endif  // COORDINATION_FRESHNESS_FRESHNESS_H_
