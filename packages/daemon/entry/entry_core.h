#ifndef DAEMON_ENTRY_ENTRY_CORE_H_
#define DAEMON_ENTRY_ENTRY_CORE_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "common/time.h"
#include "coordination/retry_budget/retry_budget.h"
#include "coordination/rollout/manifest_holder.h"
#include "daemon/node/node.h"
#include "state/limits/token_bucket.h"
#include "state/manifest/customer_index.h"
#include "state/metrics/metrics.h"
#include "state/refusal/refusal.h"
#include "state/routing/router.h"

namespace wagtailshore::entry {

// The control state of an entry process. Only on the control thread.
struct EntryCore {
  explicit EntryCore(routing::RouterOptions options)
      : router(std::move(options)) {}

  routing::Router router;
  // By customer.
  std::map<std::string, limits::TokenBucket> buckets;
  retry_budget::RetryBudget retries{{}};
  // Of the manifest in force.
  manifest::CustomerIndex customers;
  metrics::Metrics metrics;
  uint64_t next_request = 1;
};

// Counts one request as in flight for as long as it lives.
class InFlight {
 public:
  // The gate's TryBegin() has succeeded.
  explicit InFlight(node::Node& node) : node_(&node) {}
  InFlight(InFlight&& other) noexcept
      : node_(std::exchange(other.node_, nullptr)) {}
  InFlight& operator=(InFlight&&) = delete;
  ~InFlight() {
    if (node_ != nullptr) {
      node_->control().Post([node = node_] { node->gate().End(); });
    }
  }

 private:
  node::Node* node_;
};

// A request that passed admission.
struct Admitted {
  // Unique over all entries and their restarts.
  std::string request;
  std::string customer;
  std::string priority;
  common::Time deadline;
  // The manifest that this request is served under.
  std::shared_ptr<const rollout::VersionedManifest> manifest;
  InFlight in_flight;
};

// An endpoint chosen for an attempt.
struct Picked {
  std::string name;
  // "IP:port"
  std::string traffic_address;
};

// How an attempt went, for the router.
enum class AttemptResult {
  kServed,
  kRefused,
  kFailed,
  // Refused for want of a free slot.
  kBusy,
  // Ended early for a reason that is not the endpoint's.
  kAbandoned,
};

// What traffic threads ask of the control thread.
class EntryControl {
 public:
  EntryControl(node::Node& node, EntryCore& core) : node_(node), core_(core) {}

  // The endpoint for an attempt, which counts as in flight there until
  // Report().
  std::optional<Picked> Pick(const Admitted& admitted,
                             const routing::PickRequest& request);
  // Whether the budget allows another attempt, which it then counts.
  bool TryTakeRetry();
  // Another attempt goes to the same endpoint.
  void Resume(const std::string& endpoint);
  void Report(const std::string& endpoint,
              AttemptResult result,
              routing::AttemptTimes times = {});
  // For the metrics.
  void RecordAnswer(const metrics::AnswerTimes& times);
  void RecordComplete();
  void RecordRefused(refusal::Code code);

  node::Node& node() { return node_; }

 private:
  node::Node& node_;
  EntryCore& core_;
};

}  // namespace wagtailshore::entry

#endif  // DAEMON_ENTRY_ENTRY_CORE_H_
