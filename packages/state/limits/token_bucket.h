#ifndef STATE_LIMITS_TOKEN_BUCKET_H_
#define STATE_LIMITS_TOKEN_BUCKET_H_

#include "common/time.h"

// Rate limits of customers, and the queue of requests that wait for admission.
namespace wagtailshore::limits {

// Token bucket: admits requests at a given rate and bursts up to the unused
// rate of the burst time.
class TokenBucket {
 public:
  // The bucket holds at most the tokens of `burst` at the current rate.
  explicit TokenBucket(common::Duration burst) : burst_(burst) {}

  // Sets the rate to `per_second` requests per second from `now` on.
  void SetRate(double per_second, common::Time now);
  // Consumes a token and returns true, or returns false if there is none.
  bool TryTake(common::Time now);
  // Returns the time until the next token is available, at most 60 s; 0 when
  // one is available now.
  common::Duration UntilNext(common::Time now) const;

  double per_second() const { return per_second_; }

 private:
  double Capacity() const;
  void Refill(common::Time now);

  common::Duration burst_;
  double per_second_ = 0;
  // Negative until the first use: the bucket starts full.
  double tokens_ = -1;
  common::Time refilled_at_{};
};

}  // namespace wagtailshore::limits

#endif  // STATE_LIMITS_TOKEN_BUCKET_H_
