#ifndef COORDINATION_EXCHANGE_EXCHANGE_H_
#define COORDINATION_EXCHANGE_EXCHANGE_H_

#include <optional>
#include <set>
#include <string>
#include <variant>

#include "common/time.h"
#include "state/refusal/refusal.h"
#include "state/stream/stream_assembler.h"

// Serves one idempotent request: which attempt comes next, what of its frames
// reaches the caller, and when to give up.
namespace wagtailshore::exchange {

struct ExchangeOptions {
  // Unique over all entries and their restarts.
  std::string request;
  common::Time deadline;
  // Attempts without any progress between them.
  uint32_t max_fruitless_attempts = 3;
  // After this many refusals by endpoints without a free slot, an attempt may
  // wait at one.
  uint32_t max_busy_refusals = 8;
  // Longest wait for the next frame before the connection counts as silent.
  common::Duration progress_timeout = common::seconds(5);
};

// Send an attempt that begins at `offset`.
struct StartAttempt {
  stream::AttemptId id;
  uint64_t offset = 0;
  // The endpoint that holds the stream's state; use it if it can be had.
  std::optional<std::string> prefer;
  // Endpoints that failed this request.
  std::set<std::string> avoid;
  // Refusals so far by endpoints without a free slot.
  uint32_t busy_refusals = 0;
  // Whether the attempt may wait at an endpoint without a free slot.
  bool may_wait = false;
  // Whether the attempt repeats work and so needs the retry budget.
  bool is_retry = false;
};

// Wait this long for the current attempt's next frame.
struct ReadFrame {
  common::Duration timeout;
};

// Hand the text to the caller, then read on unless it is the last.
struct DeliverText {
  std::string text;
  bool last = false;
};

// Final: the request is given up on.
struct GiveUp {
  refusal::Refusal refusal;
};

using Action = std::variant<StartAttempt, ReadFrame, DeliverText, GiveUp>;

// How the current attempt ended without its last frame.
enum class AttemptEnd {
  // No connection could be made, so the endpoint saw nothing.
  kNotSent,
  // The endpoint refused it as not run.
  kRefused,
  // The endpoint refused it as not run for want of a free slot.
  kBusy,
  // The connection broke after the attempt was sent.
  kBroken,
  // No frame came in time; the connection is distrusted from then on.
  kSilent,
};

// The retry decisions of one idempotent request. Pure: the caller does the
// I/O that an action asks for and reports what came of it.
class Exchange {
 public:
  explicit Exchange(ExchangeOptions options);

  Action Start(common::Time now);
  // `endpoint` was chosen for the attempt and the attempt sent.
  Action OnSent(const std::string& endpoint, common::Time now);
  // No endpoint can take the attempt.
  Action OnNoEndpoint(common::Time now);
  // The retry budget has nothing left for the attempt.
  Action OnNoBudget(common::Time now);
  Action OnFrame(const stream::Frame& frame, common::Time now);
  // The text of a DeliverText was handed over.
  Action OnDelivered(common::Time now);
  Action OnAttemptEnd(AttemptEnd end,
                      std::optional<common::Duration> retry_after,
                      common::Time now);

  const stream::StreamAssembler& assembler() const { return assembler_; }

 private:
  Action NextAttempt(std::optional<std::string> prefer, common::Time now);
  Action OnBusy(common::Time now);
  // From now on attempts may wait, also at endpoints that were busy.
  Action WaitAtBusy(common::Time now);
  Action Read(common::Time now) const;
  Action Abandon(refusal::Code code, std::string message) const;

  ExchangeOptions options_;
  stream::StreamAssembler assembler_;
  std::string endpoint_;
  std::set<std::string> avoid_;
  // Endpoints without a free slot when last asked; a part of `avoid_`.
  std::set<std::string> busy_;
  uint32_t busy_refusals_ = 0;
  bool may_wait_ = false;
  uint32_t fruitless_attempts_ = 0;
  uint64_t offset_at_start_ = 0;
  // Whether any endpoint may have begun to run the request.
  bool may_have_run_ = false;
  bool retried_same_endpoint_ = false;
  // Whether the next attempt repeats one that got no further.
  bool repeats_work_ = false;
  std::optional<common::Duration> retry_after_;
};

}  // namespace wagtailshore::exchange

#endif  // COORDINATION_EXCHANGE_EXCHANGE_H_
