#ifndef COORDINATION_RETRY_WINDOW_RETRY_WINDOW_H_
#define COORDINATION_RETRY_WINDOW_RETRY_WINDOW_H_

#include <deque>

#include "common/time.h"

// Bounds the attempts beyond the first of each request in a sliding window.
namespace wagtailshore::retry_window {

struct RetryWindowOptions {
  common::Duration window = common::seconds(10);
  // Further attempts per request seen in the window.
  double ratio = 0.15;
  // Further attempts allowed in a window besides.
  double reserve = 4;
};

// One process's part of a service's retry budget. The ratio counts the requests
// that this process saw, so the parts of all processes add up to the whole
// without any of them knowing the others. Answers the load of failing or
// refusing endpoints, where unbounded retries would multiply the traffic.
class RetryWindow {
 public:
  explicit RetryWindow(RetryWindowOptions options) : options_(options) {}

  void OnRequest(common::Time now);
  // Whether a further attempt may be made now; counts it if so.
  [[nodiscard]] bool TryTake(common::Time now);

 private:
  void Expire(common::Time now);

  RetryWindowOptions options_;
  std::deque<common::Time> requests_;
  std::deque<common::Time> retries_;
};

}  // namespace wagtailshore::retry_window

#endif  // COORDINATION_RETRY_WINDOW_RETRY_WINDOW_H_
