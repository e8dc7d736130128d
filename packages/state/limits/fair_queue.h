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
  // Longest wait that a request is admitted to.
  common::Duration max_wait = common::milliseconds(500);
  size_t max_length = 1000;
  // Time that passes between requests leaving the queue, until measured.
  common::Duration first_interval = common::milliseconds(100);
};

// A request that waits for its turn.
struct Waiting {
  // Unique among the waiting ones.
  uint64_t id = 0;
  std::string customer;
  manifest::Priority priority = manifest::Priority::kNormal;
  // The caller's deadline for the first token.
  common::Time deadline;
};

// The request waits; First() will show it when its turn comes.
struct Queued {
  common::Duration predicted_wait{};
};

using Admission = std::variant<Queued, refusal::Refusal>;

// Orders waiting requests by start-time fair queueing: each customer's requests
// in order, customers in turn, and higher priorities more often. A request that
// would wait beyond its deadline or beyond the bound is refused on arrival.
class FairQueue {
 public:
  explicit FairQueue(FairQueueOptions options);

  Admission Enter(Waiting waiting, common::Time now);
  // The request whose turn it is, or null.
  const Waiting* First() const;
  // Takes the first request out because it is served now.
  Waiting TakeFirst(common::Time now);
  // Takes out the requests that will not be served within their deadlines any
  // more, because others went before them or the service became slower.
  std::vector<Waiting> TakeHopeless(common::Time now);
  void Remove(uint64_t id);

  size_t size() const { return queue_.size(); }
  bool empty() const { return queue_.empty(); }

 private:
  // Virtual start time, then order of arrival.
  using Tag = std::pair<double, uint64_t>;

  common::Duration WaitBehind(size_t ahead) const;

  FairQueueOptions options_;
  std::map<Tag, Waiting> queue_;
  // Virtual time at which each customer's last request ends.
  std::map<std::string, double> finish_;
  double virtual_time_ = 0;
  uint64_t next_order_ = 1;
  // Smoothed time between requests leaving while others wait.
  double interval_ms_;
  std::optional<common::Time> last_left_;
};

}  // namespace wagtailshore::limits

#endif  // STATE_LIMITS_FAIR_QUEUE_H_
