#include "coordination/admission/admission.h"

#include <algorithm>
#include <iterator>

namespace wagtailshore::admission {

bool AdmissionControl::Admit(double chance, common::Time now) {
  if (now >= next_) {
    next_ = now + options_.period;
    Reconsider(now);
  }
  return now < admits_all_until_ || chance < share_;
}

void AdmissionControl::OnSent(common::Time now, common::Duration objective) {
  due_.emplace(now + objective, now);
}

void AdmissionControl::OnEnded(common::Time sent_at,
                               common::Duration objective) {
  const auto found = due_.find(sent_at + objective);
  if (found != due_.end()) {
    due_.erase(found);
  }
}

void AdmissionControl::OnStarted(common::Time sent_at,
                                 common::Duration objective,
                                 common::Time now) {
  OnEnded(sent_at, objective);
  starts_.push_back({.at = now, .late = now > sent_at + objective});
}

void AdmissionControl::Reconsider(common::Time now) {
  while (!starts_.empty() && starts_.front().at <= now - options_.window) {
    starts_.pop_front();
  }
  // Those that still wait beyond their objective are late already.
  const auto overdue =
      static_cast<size_t>(std::distance(due_.begin(), due_.lower_bound(now)));
  const size_t all = starts_.size() + overdue;
  if (all < options_.least_starts) {
    share_ = std::min(1.0, share_ + options_.increase);
    return;
  }
  const auto late_starts = static_cast<size_t>(
      std::count_if(starts_.begin(), starts_.end(),
                    [](const Start& start) { return start.late; }));
  const double late_share =
      static_cast<double>(late_starts + overdue) / static_cast<double>(all);
  const bool at_floor = share_ <= options_.floor;
  periods_at_floor_ = at_floor && late_share > options_.too_many_late
                          ? periods_at_floor_ + 1
                          : 0;
  if (periods_at_floor_ >= options_.futile_periods) {
    periods_at_floor_ = 0;
    share_ = 1;
    admits_all_until_ = now + options_.futile_rest;
    return;
  }
  if (now < admits_all_until_) {
    return;
  }
  if (late_share > options_.too_many_late) {
    share_ = std::max(options_.floor, share_ * options_.decrease);
  } else if (late_share < options_.few_late) {
    share_ = std::min(1.0, share_ + options_.increase);
  }
}

}  // namespace wagtailshore::admission
