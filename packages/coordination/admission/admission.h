#ifndef COORDINATION_ADMISSION_ADMISSION_H_
#define COORDINATION_ADMISSION_ADMISSION_H_

#include <cstddef>
#include <deque>
#include <map>

#include "common/time.h"

// Decides which requests to refuse while a service is overloaded.
namespace wagtailshore::admission {

struct AdmissionOptions {
  // How long a start is counted.
  common::Duration window = common::milliseconds(1000);
  // How often the admitted share is updated.
  common::Duration period = common::milliseconds(200);
  // Fewest starts in the window from which lateness is judged; with fewer the
  // share is raised.
  size_t min_starts = 4;
  // Shares of late starts above which the admitted share is reduced, and below
  // which it is raised.
  double high_late_share = 0.3;
  double low_late_share = 0.1;
  // The admitted share is multiplied by the factor to reduce it; the step is
  // added to raise it.
  double decrease_factor = 0.88;
  double increase_step = 0.06;
  // Lower bound of the admitted share.
  double min_share = 0.5;
  // After this many consecutive periods at the lower bound with too many late
  // starts, refusing requests is considered useless, and all requests are
  // admitted for a while.
  int max_periods_at_min_share = 25;
  common::Duration admit_all_duration = common::seconds(8);
};

// Admits such a share of the requests that the first events of the admitted
// ones arrive within their latency objective. When more requests arrive than a
// service can start in time, its queue delays every request beyond the
// objective; refusing some of them at once keeps the others on time. The
// measure is the delay of this gateway's own requests, so gateways exchange no
// state and need no view of the endpoints' queues. If the service stays slow
// although requests are refused, all requests are admitted: a late answer is
// better than none.
class AdmissionControl {
 public:
  explicit AdmissionControl(AdmissionOptions options) : options_(options) {}

  // Whether to admit a request. `chance` is a random number, uniform in [0, 1).
  bool Admit(double chance, common::Time now);

  // An admitted request was forwarded; its first event is due `objective`
  // later.
  void OnSent(common::Time now, common::Duration objective);
  // The request had its first event, or ended without one. `sent_at` and
  // `objective` are those that were passed to OnSent().
  void OnStarted(common::Time sent_at,
                 common::Duration objective,
                 common::Time now);
  void OnEnded(common::Time sent_at, common::Duration objective);

  double share() const { return share_; }

 private:
  struct Start {
    common::Time at;
    bool late = false;
  };

  void UpdateShare(common::Time now);

  AdmissionOptions options_;
  double share_ = 1;
  common::Time next_update_{};
  int periods_at_min_share_ = 0;
  common::Time admit_all_until_{};
  std::deque<Start> starts_;
  // Requests without a first event yet: when it is due, and when the request
  // was sent.
  std::multimap<common::Time, common::Time> awaiting_start_;
};

}  // namespace wagtailshore::admission

#endif  // COORDINATION_ADMISSION_ADMISSION_H_
