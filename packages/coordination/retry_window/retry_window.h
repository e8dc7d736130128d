#ifndef COORDINATION_RETRY_WINDOW_RETRY_WINDOW_H_
#define COORDINATION_RETRY_WINDOW_RETRY_WINDOW_H_

#include <deque>
#include <limits>

#include "common/time.h"

// Bounds the retries of requests within a sliding window.
namespace wagtailshore::retry_window {

struct RetryWindowOptions {
  common::Duration window = common::seconds(10);
  // Retries allowed per request that arrived in the window.
  double ratio = 0.15;
};

// One process's part of a service's retry budget. A retry is any attempt of a
// request after its first. Keeps retries from multiplying the traffic when
// endpoints fail or refuse requests.
//
// The budget has two parts. The ratio applies to the requests that this process
// received, so the parts of all processes add up to the whole without
// coordination. The reserve lets services with few requests retry; it is
// divided among the processes, see ReserveShare.
class RetryWindow {
 public:
  explicit RetryWindow(RetryWindowOptions options) : options_(options) {}

  void OnRequest(common::Time now);
  // Whether a retry may be made now; if so, counts it. `reserve_share` is the
  // number of retries in a window that this process may take from the reserve.
  [[nodiscard]] bool TryTake(double reserve_share, common::Time now);

 private:
  void Expire(common::Time now);
  bool TryTakeFromReserve(double share, common::Time now);

  RetryWindowOptions options_;
  std::deque<common::Time> requests_;
  // Retries counted against the ratio.
  std::deque<common::Time> retries_;
  // Retries that may be taken from the reserve at once, up to half of the
  // share. Full at first, as a process has no share in its first windows.
  double reserve_ = std::numeric_limits<double>::max();
  common::Time refilled_at_{};
};

}  // namespace wagtailshore::retry_window

#endif  // COORDINATION_RETRY_WINDOW_RETRY_WINDOW_H_
