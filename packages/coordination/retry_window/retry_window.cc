#include "coordination/retry_window/retry_window.h"

#include <algorithm>

namespace wagtailshore::retry_window {

void RetryWindow::OnRequest(common::Time now) {
  Expire(now);
  requests_.push_back(now);
}

bool RetryWindow::TryTake(double reserve_share, common::Time now) {
  Expire(now);
  const double allowed = options_.ratio * static_cast<double>(requests_.size());
  if (static_cast<double>(retries_.size()) + 1 <= allowed) {
    retries_.push_back(now);
    return true;
  }
  return TryTakeFromReserve(reserve_share, now);
}

bool RetryWindow::TryTakeFromReserve(double share, common::Time now) {
  // What can be taken at once and what is refilled in a window add up to the
  // share, so no window sees more than it.
  const double capacity = share < 1 ? 0 : std::max(1.0, share / 2);
  const double refill_per_window = std::max(0.0, share - capacity);
  const double windows = std::chrono::duration<double>(now - refilled_at_) /
                         std::chrono::duration<double>(options_.window);
  refilled_at_ = now;
  reserve_ = std::min(capacity, reserve_ + windows * refill_per_window);
  if (reserve_ < 1) {
    return false;
  }
  reserve_ -= 1;
  return true;
}

void RetryWindow::Expire(common::Time now) {
  const common::Time start = now - options_.window;
  for (std::deque<common::Time>* times : {&requests_, &retries_}) {
    while (!times->empty() && times->front() <= start) {
      times->pop_front();
    }
  }
}

}  // namespace wagtailshore::retry_window
