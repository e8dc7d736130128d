#ifndef STATE_LIMITS_TOKEN_BUCKET_H_
#define STATE_LIMITS_TOKEN_BUCKET_H_

#include "common/time.h"

// Limits on what customers may send, and the order in which they wait.
namespace wagtailshore::limits {

// Lets a rate of requests through, and bursts of what was left unused.
class TokenBucket {
 public:
  // `burst` is how much of the rate can be saved up.
  explicit TokenBucket(common::Duration burst) : burst_(burst) {}

  // From now on `per_second` requests a second.
  void SetRate(double per_second, common::Time now);
  // Whether a request may pass; takes its token if so.
  bool TryTake(common::Time now);
  // How long until the next request may pass; a minute at most.
  common::Duration UntilNext(common::Time now) const;

  double per_second() const { return per_second_; }

 private:
  double Capacity() const;
  void Refill(common::Time now);

  common::Duration burst_;
  double per_second_ = 0;
  // Negative before the first use: the bucket begins full.
  double tokens_ = -1;
  common::Time refilled_at_{};
};

}  // namespace wagtailshore::limits

#endif  // STATE_LIMITS_TOKEN_BUCKET_H_
