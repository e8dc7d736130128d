#include "coordination/admission/admission.h"

#include <algorithm>
#include <iterator>

namespace wagtailshore::admission {

bool AdmissionControl::Admit(double chance, common::Time now) {
  if (now >= next_update_) {
    next_update_ = now + options_.period;
    UpdateShare(now);
  }
  return now < admit_all_until_ || chance < share_;
}

void AdmissionControl::OnSent(common::Time now, common::Duration objective) {
  awaiting_start_.emplace(now + objective, now);
}

void AdmissionControl::OnEnded(common::Time sent_at,
                               common::Duration objective) {
  const auto found = awaiting_start_.find(sent_at + objective);
  if (found != awaiting_start_.end()) {
    awaiting_start_.erase(found);
  }
}

void AdmissionControl::OnStarted(common::Time sent_at,
                                 common::Duration objective,
                                 common::Time now) {
  OnEnded(sent_at, objective);
  starts_.push_back({.at = now, .late = now > sent_at + objective});
}

void AdmissionControl::UpdateShare(common::Time now) {
  while (!starts_.empty() && starts_.front().at <= now - options_.window) {
    starts_.pop_front();
  }
  // Requests whose first event is overdue count as late starts already.
  const auto overdue = static_cast<size_t>(
      std::distance(awaiting_start_.begin(), awaiting_start_.lower_bound(now)));
  const size_t measured = starts_.size() + overdue;
  if (measured < options_.min_starts) {
    share_ = std::min(1.0, share_ + options_.increase_step);
    return;
  }
  const auto late_starts = static_cast<size_t>(
      std::count_if(starts_.begin(), starts_.end(),
                    [](const Start& start) { return start.late; }));
  const double late_share = static_cast<double>(late_starts + overdue) /
                            static_cast<double>(measured);
  const bool at_min_share = share_ <= options_.min_share;
  periods_at_min_share_ = at_min_share && late_share > options_.high_late_share
                              ? periods_at_min_share_ + 1
                              : 0;
  if (periods_at_min_share_ >= options_.max_periods_at_min_share) {
    periods_at_min_share_ = 0;
    share_ = 1;
    admit_all_until_ = now + options_.admit_all_duration;
    return;
  }
  if (now < admit_all_until_) {
    return;
  }
  if (late_share > options_.high_late_share) {
    share_ = std::max(options_.min_share, share_ * options_.decrease_factor);
  } else if (late_share < options_.low_late_share) {
    share_ = std::min(1.0, share_ + options_.increase_step);
  }
}

}  // namespace wagtailshore::admission
