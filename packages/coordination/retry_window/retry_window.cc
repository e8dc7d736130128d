#include "coordination/retry_window/retry_window.h"

namespace wagtailshore::retry_window {

void RetryWindow::OnRequest(common::Time now) {
  Expire(now);
  requests_.push_back(now);
}

bool RetryWindow::TryTake(common::Time now) {
  Expire(now);
  const double allowed =
      options_.reserve + options_.ratio * static_cast<double>(requests_.size());
  if (static_cast<double>(retries_.size()) + 1 > allowed) {
    return false;
  }
  retries_.push_back(now);
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
