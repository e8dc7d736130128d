#include "state/limits/fair_queue.h"

#include <algorithm>
#include <iterator>

#include "common/invariant.h"

namespace wagtailshore::limits {
namespace {

// Weight of a new measurement of the interval.
constexpr double kSmoothing = 0.1;
constexpr common::Duration kLeastRetryAfter = common::seconds(1);

double ToMs(common::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

// How many requests of this priority pass for one of the lowest.
double WeightOf(manifest::Priority priority) {
  switch (priority) {
    case manifest::Priority::kLow:
      return 1;
    case manifest::Priority::kNormal:
      return 2;
    case manifest::Priority::kHigh:
      return 4;
  }
  return 1;
}

refusal::Refusal Overloaded(common::Duration retry_after) {
  return {.code = refusal::Code::kOverloaded,
          .message = "the predicted wait is beyond the limit",
          .retry_after = std::max(retry_after, kLeastRetryAfter)};
}

}  // namespace

FairQueue::FairQueue(FairQueueOptions options)
    : options_(options), interval_ms_(ToMs(options.first_interval)) {}

common::Duration FairQueue::WaitBehind(size_t ahead) const {
  return std::chrono::duration_cast<common::Duration>(
      std::chrono::duration<double, std::milli>(static_cast<double>(ahead) *
                                                interval_ms_));
}

Admission FairQueue::Enter(Waiting waiting, common::Time now) {
  const auto last = finish_.find(waiting.customer);
  const double start = last == finish_.end()
                           ? virtual_time_
                           : std::max(virtual_time_, last->second);
  const Tag tag{start, next_order_};
  const common::Duration wait = WaitBehind(static_cast<size_t>(
      std::distance(queue_.begin(), queue_.lower_bound(tag))));
  if (wait > options_.max_wait || now + wait >= waiting.deadline ||
      queue_.size() >= options_.max_length) {
    return Overloaded(wait - options_.max_wait);
  }
  ++next_order_;
  finish_[waiting.customer] = start + 1 / WeightOf(waiting.priority);
  queue_.emplace(tag, std::move(waiting));
  return Queued{.predicted_wait = wait};
}

const Waiting* FairQueue::First() const {
  return queue_.empty() ? nullptr : &queue_.begin()->second;
}

Waiting FairQueue::TakeFirst(common::Time now) {
  WS_INVARIANT(!queue_.empty()) << "only a waiting request can be served";
  if (last_left_.has_value()) {
    interval_ms_ += kSmoothing * (ToMs(now - *last_left_) - interval_ms_);
  }
  const auto first = queue_.begin();
  WS_INVARIANT(first->first.first >= virtual_time_)
      << "virtual time never falls";
  virtual_time_ = first->first.first;
  Waiting waiting = std::move(first->second);
  queue_.erase(first);
  // An interval without anyone waiting says nothing of the service's speed.
  last_left_ = queue_.empty() ? std::nullopt : std::optional(now);
  std::erase_if(finish_, [this](const auto& item) {
    return item.second <= virtual_time_;
  });
  return waiting;
}

std::vector<Waiting> FairQueue::TakeHopeless(common::Time now) {
  std::vector<Waiting> hopeless;
  size_t ahead = 0;
  for (auto item = queue_.begin(); item != queue_.end();) {
    if (now + WaitBehind(ahead) < item->second.deadline) {
      ++ahead;
      ++item;
      continue;
    }
    hopeless.push_back(std::move(item->second));
    item = queue_.erase(item);
  }
  return hopeless;
}

void FairQueue::Remove(uint64_t id) {
  std::erase_if(queue_,
                [id](const auto& item) { return item.second.id == id; });
}

}  // namespace wagtailshore::limits
