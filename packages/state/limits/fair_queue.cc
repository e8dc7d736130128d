#include "state/limits/fair_queue.h"

#include <algorithm>
#include <iterator>

#include "common/invariant.h"

namespace wagtailshore::limits {
namespace {

// Weight of a new sample in the exponentially smoothed dequeue interval.
constexpr double kSmoothingFactor = 0.1;
constexpr common::Duration kMinRetryAfter = common::seconds(1);

double ToMs(common::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

// Requests of this priority served for each one of the lowest priority.
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
          .retry_after = std::max(retry_after, kMinRetryAfter)};
}

}  // namespace

FairQueue::FairQueue(FairQueueOptions options)
    : options_(options), dequeue_interval_ms_(ToMs(options.initial_interval)) {}

common::Duration FairQueue::PredictedWait(size_t ahead) const {
  return std::chrono::duration_cast<common::Duration>(
      std::chrono::duration<double, std::milli>(static_cast<double>(ahead) *
                                                dequeue_interval_ms_));
}

Admission FairQueue::Enqueue(WaitingRequest request, common::Time now) {
  const auto last = virtual_finish_.find(request.customer);
  const double start = last == virtual_finish_.end()
                           ? virtual_time_
                           : std::max(virtual_time_, last->second);
  const Tag tag{start, next_sequence_};
  const common::Duration wait = PredictedWait(static_cast<size_t>(
      std::distance(queue_.begin(), queue_.lower_bound(tag))));
  if (wait > options_.max_wait || now + wait >= request.deadline ||
      queue_.size() >= options_.max_length) {
    return Overloaded(wait - options_.max_wait);
  }
  ++next_sequence_;
  virtual_finish_[request.customer] = start + 1 / WeightOf(request.priority);
  queue_.emplace(tag, std::move(request));
  return Queued{.predicted_wait = wait};
}

const WaitingRequest* FairQueue::First() const {
  return queue_.empty() ? nullptr : &queue_.begin()->second;
}

WaitingRequest FairQueue::TakeFirst(common::Time now) {
  WS_INVARIANT(!queue_.empty()) << "only a waiting request can be served";
  if (last_dequeued_at_.has_value()) {
    dequeue_interval_ms_ += kSmoothingFactor * (ToMs(now - *last_dequeued_at_) -
                                                dequeue_interval_ms_);
  }
  const auto first = queue_.begin();
  WS_INVARIANT(first->first.first >= virtual_time_)
      << "virtual time never falls";
  virtual_time_ = first->first.first;
  WaitingRequest request = std::move(first->second);
  queue_.erase(first);
  // While nobody waits, the interval depends on arrivals, not on the service's
  // speed.
  last_dequeued_at_ = queue_.empty() ? std::nullopt : std::optional(now);
  std::erase_if(virtual_finish_, [this](const auto& item) {
    return item.second <= virtual_time_;
  });
  return request;
}

std::vector<WaitingRequest> FairQueue::TakePredictedLate(common::Time now) {
  std::vector<WaitingRequest> late;
  size_t ahead = 0;
  for (auto item = queue_.begin(); item != queue_.end();) {
    if (now + PredictedWait(ahead) < item->second.deadline) {
      ++ahead;
      ++item;
      continue;
    }
    late.push_back(std::move(item->second));
    item = queue_.erase(item);
  }
  return late;
}

void FairQueue::Remove(uint64_t id) {
  std::erase_if(queue_,
                [id](const auto& item) { return item.second.id == id; });
}

}  // namespace wagtailshore::limits
