#ifndef STATE_LIMITS_FAIR_QUEUE_H_
#define STATE_LIMITS_FAIR_QUEUE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "common/time.h"
#include "state/manifest/manifest.h"
#include "state/refusal/refusal.h"

namespace wagtailshore::limits {

struct FairQueueOptions {
  // Maximum predicted wait; a request that would wait longer is refused.
  common::Duration max_wait = common::milliseconds(500);
  size_t max_length = 1000;
  // Assumed time between two requests that leave the queue, until measured.
  common::Duration initial_interval = common::milliseconds(100);
};

// A request in the queue.
struct WaitingRequest {
  // Unique among the requests in the queue.
  uint64_t id = 0;
  std::string customer;
  manifest::Priority priority = manifest::Priority::kNormal;
  // Caller's deadline for the first token.
  common::Time deadline;
};

// The request was queued; First() returns it when all before it are gone.
struct Queued {
  common::Duration predicted_wait{};
};

using Admission = std::variant<Queued, refusal::Refusal>;

// Orders waiting requests by start-time fair queueing (SFQ): each customer's
// requests in order of arrival, customers in turn, and higher priorities more
// often. A request is refused on arrival if the queue is full or its predicted
// wait exceeds its deadline or the maximum wait.
class FairQueue {
 public:
  explicit FairQueue(FairQueueOptions options);

  // Queues the request, or refuses it as overloaded.
  Admission Enqueue(WaitingRequest request, common::Time now);
  // Returns the request to serve next, or null when the queue is empty.
  const WaitingRequest* First() const;
  // Removes and returns the first request, which is served now. The queue must
  // not be empty.
  WaitingRequest TakeFirst(common::Time now);
  // Removes and returns the requests whose predicted wait now exceeds their
  // deadlines, because others were placed before them or the service became
  // slower.
  std::vector<WaitingRequest> TakePredictedLate(common::Time now);
  void Remove(uint64_t id);

  size_t size() const { return queue_.size(); }
  bool empty() const { return queue_.empty(); }

 private:
  // Virtual start time, then sequence number of the arrival.
  using Tag = std::pair<double, uint64_t>;

  // Predicted wait of a request with this many requests ahead of it.
  common::Duration PredictedWait(size_t ahead) const;

  FairQueueOptions options_;
  std::map<Tag, WaitingRequest> queue_;
  // Virtual finish time of each customer's last request.
  std::map<std::string, double> virtual_finish_;
  double virtual_time_ = 0;
  uint64_t next_sequence_ = 1;
  // Smoothed time between two requests that leave while others wait.
  double dequeue_interval_ms_;
  // Unset when the queue was empty after the last request left.
  std::optional<common::Time> last_dequeued_at_;
};

}  // namespace wagtailshore::limits

#endif  // STATE_LIMITS_FAIR_QUEUE_H_
