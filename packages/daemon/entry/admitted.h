#ifndef DAEMON_ENTRY_ADMITTED_H_
#define DAEMON_ENTRY_ADMITTED_H_

#include <memory>
#include <string>
#include <utility>

#include "common/time.h"
#include "coordination/rollout/manifest_holder.h"
#include "daemon/node/node.h"

namespace wagtailshore::entry {

// Counts one request as in flight until the object is destroyed.
class InFlight {
 public:
  // Call only after the gate's TryBegin() returned true.
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

// A request that passed admission control.
struct Admitted {
  // Unique across all entries and their restarts.
  std::string request_id;
  std::string customer;
  std::string priority;
  common::Time deadline;
  // The manifest in force when the request was admitted.
  std::shared_ptr<const rollout::VersionedManifest> manifest;
  InFlight in_flight;
};

}  // namespace wagtailshore::entry

#endif  // DAEMON_ENTRY_ADMITTED_H_
