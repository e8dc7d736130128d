#include "state/limits/token_bucket.h"

#include <algorithm>

namespace wagtailshore::limits {
namespace {

constexpr common::Duration kMaxWait = common::seconds(60);

double Seconds(common::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

// At least 1, so that a rate below one request per burst time still admits
// single requests.
double TokenBucket::Capacity() const {
  return std::max(1.0, per_second_ * Seconds(burst_));
}

void TokenBucket::Refill(common::Time now) {
  if (tokens_ < 0) {
    tokens_ = Capacity();
  } else {
    tokens_ += per_second_ * Seconds(now - refilled_at_);
  }
  tokens_ = std::min(tokens_, Capacity());
  refilled_at_ = now;
}

void TokenBucket::SetRate(double per_second, common::Time now) {
  if (per_second == per_second_) {
    return;
  }
  if (tokens_ >= 0) {
    Refill(now);
  }
  per_second_ = per_second;
  tokens_ = std::min(tokens_, Capacity());
}

bool TokenBucket::TryTake(common::Time now) {
  Refill(now);
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

common::Duration TokenBucket::UntilNext(common::Time now) const {
  const double tokens =
      std::max(0.0, tokens_) + per_second_ * Seconds(now - refilled_at_);
  if (tokens >= 1) {
    return {};
  }
  if (per_second_ <= 0) {
    return kMaxWait;
  }
  const double wait_seconds = (1 - tokens) / per_second_;
  return wait_seconds >= Seconds(kMaxWait)
             ? kMaxWait
             : std::chrono::duration_cast<common::Duration>(
                   std::chrono::duration<double>(wait_seconds));
}

}  // namespace wagtailshore::limits
