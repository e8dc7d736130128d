#ifndef COORDINATION_ADMISSION_ADMISSION_H_
#define COORDINATION_ADMISSION_ADMISSION_H_

#include <cstddef>
#include <deque>
#include <map>

#include "common/time.h"

// Decides which requests to turn away while a service is overloaded.
namespace wagtailshore::admission {

struct AdmissionOptions {
  // How long a start counts.
  common::Duration window = common::milliseconds(1000);
  // How often the admitted share is reconsidered.
  common::Duration period = common::milliseconds(200);
  // Fewest starts in the window that say anything.
  size_t least_starts = 4;
  // Shares of late starts above which less is admitted, and below which more.
  double too_many_late = 0.3;
  double few_late = 0.1;
  // What the admitted share is multiplied by, and what is added to it.
  double decrease = 0.88;
  double increase = 0.06;
  // Least share that is admitted, whatever happens.
  double floor = 0.5;
  // Periods at the floor with too many late starts after which refusing is
  // taken to help nobody, and how long all are admitted then.
  int futile_periods = 25;
  common::Duration futile_rest = common::seconds(8);
};

// Admits a share of the requests that keeps the others' first events within
// their objective. Answers the load of more requests than a service can start
// in time: its queue then delays every request beyond its objective, while
// turning a part of them away at once lets the rest be on time. The measure is
// what the gateway's own requests experience, so no gateway needs to know the
// others or the endpoints' queues. A service that is slow whatever is refused
// gets all requests: late answers are better than none.
class AdmissionControl {
 public:
  explicit AdmissionControl(AdmissionOptions options) : options_(options) {}

  // Whether to take a request, for a `chance` drawn evenly from 0 to 1.
  bool Admit(double chance, common::Time now);

  // An admitted request was sent on; its first event is due after `objective`.
  void OnSent(common::Time now, common::Duration objective);
  // It had its first event, or ended without one, `sent_at` as told before.
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

  void Reconsider(common::Time now);

  AdmissionOptions options_;
  double share_ = 1;
  common::Time next_{};
  int periods_at_floor_ = 0;
  common::Time admits_all_until_{};
  std::deque<Start> starts_;
  // When the first events of requests without one are due.
  std::multimap<common::Time, common::Time> due_;
};

}  // namespace wagtailshore::admission

#endif  // COORDINATION_ADMISSION_ADMISSION_H_
