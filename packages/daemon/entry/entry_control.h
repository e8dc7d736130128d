#ifndef DAEMON_ENTRY_ENTRY_CONTROL_H_
#define DAEMON_ENTRY_ENTRY_CONTROL_H_

#include <optional>
#include <string>
#include <variant>

#include "coordination/quarantine/quarantine.h"
#include "daemon/entry/admitted.h"
#include "daemon/entry/entry_core.h"
#include "daemon/node/node.h"
#include "state/metrics/metrics.h"
#include "state/refusal/refusal.h"
#include "state/routing/router.h"

namespace wagtailshore::entry {

// An endpoint chosen for an attempt.
struct PickedEndpoint {
  std::string name;
  // "IP:port"
  std::string traffic_address;
};

// An endpoint chosen for an attempt under the quarantine's rules.
struct PickedAttempt {
  PickedEndpoint endpoint;
  // The attempt's number in the quarantine.
  uint64_t attempt = 0;
};

// No endpoint can accept the attempt.
struct NoEndpointAvailable {};

using ContentPick = std::variant<PickedAttempt,
                                 NoEndpointAvailable,
                                 quarantine::MustWait,
                                 quarantine::Refused>;

// How an attempt ended, for the quarantine of its content.
enum class ContentEnd { kAnswered, kCrashed, kOther };

// How an attempt ended, for the router.
enum class AttemptResult {
  kServed,
  kRefused,
  kFailed,
  // Refused because the endpoint has no free slot.
  kBusy,
  // Ended early for a reason that is not the endpoint's fault.
  kAbandoned,
};

// Gives connection threads access to the state that belongs to the control
// thread. May be called on any other thread.
class EntryControl {
 public:
  EntryControl(node::Node& node, EntryCore& core) : node_(node), core_(core) {}

  // Chooses an endpoint for an attempt. The attempt counts as in flight there
  // until Report() is called.
  std::optional<PickedEndpoint> Pick(const Admitted& admitted,
                                     const routing::PickRequest& request);
  // Takes one retry from the retry budget. Returns false if it is exhausted.
  bool TryTakeRetry();
  // As Pick(), under the quarantine's rules for the content with this digest.
  // `prefer` is chosen if the rules allow it. EndContent() must be called after
  // a PickedAttempt was returned.
  ContentPick PickForContent(const Admitted& admitted,
                             routing::PickRequest request,
                             const std::string& digest,
                             const std::optional<std::string>& prefer);
  void EndContent(uint64_t attempt, const std::string& digest, ContentEnd end);
  void Report(const std::string& endpoint,
              AttemptResult result,
              routing::AttemptTimes times = {});
  // Record an outcome in the metrics.
  void RecordAnswer(const metrics::AnswerTimes& times);
  void RecordComplete();
  void RecordRefused(refusal::Code code);

  node::Node& node() { return node_; }

 private:
  // Looks the endpoint's address up in the current manifest, then in the one
  // that the request was admitted under.
  std::optional<PickedEndpoint> Locate(const Admitted& admitted,
                                       const std::string& name);
  // Called on the control thread. Does not fill in the endpoint's address.
  ContentPick PickOnControl(routing::PickRequest& request,
                            const std::string& digest,
                            std::optional<std::string> endpoint);

  node::Node& node_;
  EntryCore& core_;
};

}  // namespace wagtailshore::entry

#endif  // DAEMON_ENTRY_ENTRY_CONTROL_H_
