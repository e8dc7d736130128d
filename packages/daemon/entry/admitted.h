#ifndef DAEMON_ENTRY_ADMITTED_H_
#define DAEMON_ENTRY_ADMITTED_H_

#include <memory>
#include <string>
#include <utility>

#include "common/time.h"
#include "coordination/rollout/manifest_holder.h"
#include "daemon/node/node.h"

namespace wagtailshore::entry {

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

}  // namespace wagtailshore::entry

#endif  // DAEMON_ENTRY_ADMITTED_H_
