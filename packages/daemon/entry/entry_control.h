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
struct Picked {
  std::string name;
  // "IP:port"
  std::string traffic_address;
};

// An endpoint chosen under the quarantine's rules.
struct PickedRun {
  Picked endpoint;
  // The attempt's number with the quarantine.
  uint64_t attempt = 0;
};

// No endpoint can take the attempt.
struct NoneFree {};

using ContentPick = std::
    variant<PickedRun, NoneFree, quarantine::MustWait, quarantine::Refused>;

// How an attempt with a content ended.
enum class ContentEnd { kAnswered, kCrashed, kOther };

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
  // As Pick(), for a content that may crash endpoints. `prefer` is taken if
  // the rules allow it. EndContent() must follow a PickedRun.
  ContentPick PickForContent(const Admitted& admitted,
                             routing::PickRequest request,
                             const std::string& digest,
                             const std::optional<std::string>& prefer);
  void EndContent(uint64_t attempt, const std::string& digest, ContentEnd end);
  void Report(const std::string& endpoint,
              AttemptResult result,
              routing::AttemptTimes times = {});
  // For the metrics.
  void RecordAnswer(const metrics::AnswerTimes& times);
  void RecordComplete();
  void RecordRefused(refusal::Code code);

  node::Node& node() { return node_; }

 private:
  // Where the manifests that may name the endpoint say that it is.
  std::optional<Picked> Locate(const Admitted& admitted,
                               const std::string& name);
  // On the control thread; without the endpoint's address.
  ContentPick PickOnControl(routing::PickRequest& request,
                            const std::string& digest,
                            std::optional<std::string> endpoint);

  node::Node& node_;
  EntryCore& core_;
};

}  // namespace wagtailshore::entry

#endif  // DAEMON_ENTRY_ENTRY_CONTROL_H_
