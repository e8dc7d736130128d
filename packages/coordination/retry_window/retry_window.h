#ifndef COORDINATION_RETRY_WINDOW_RETRY_WINDOW_H_
#define COORDINATION_RETRY_WINDOW_RETRY_WINDOW_H_

#include <deque>

#include "common/time.h"

// Bounds the retries of requests within a sliding window.
namespace wagtailshore::retry_window {

struct RetryWindowOptions {
  common::Duration window = common::seconds(10);
  // Retries allowed per request that arrived in the window.
  double ratio = 0.15;
  // Retries allowed in a window in addition to the ratio.
  double reserve = 4;
};

// One process's part of a service's retry budget. A retry is any attempt of a
// request after its first. The ratio applies to the requests that this process
// received, so the parts of all processes add up to the whole budget without
// coordination. Keeps retries from multiplying the traffic when endpoints fail
// or refuse requests.
class RetryWindow {
 public:
  explicit RetryWindow(RetryWindowOptions options) : options_(options) {}

  void OnRequest(common::Time now);
  // Whether a retry may be made now; if so, counts it.
  [[nodiscard]] bool TryTake(common::Time now);

 private:
  void Expire(common::Time now);

  RetryWindowOptions options_;
  std::deque<common::Time> requests_;
  std::deque<common::Time> retries_;
};

}  // namespace wagtailshore::retry_window

#endif  // COORDINATION_RETRY_WINDOW_RETRY_WINDOW_H_
