#ifndef COORDINATION_EXCHANGE_EXCHANGE_H_
#define COORDINATION_EXCHANGE_EXCHANGE_H_

#include <optional>
#include <set>
#include <string>
#include <variant>

#include "common/time.h"
#include "state/refusal/refusal.h"
#include "state/stream/stream_assembler.h"

// Controls the attempts of one idempotent request: which attempt is made next,
// which frames are passed to the caller, and when to give up.
namespace wagtailshore::exchange {

struct ExchangeOptions {
  // The request's identifier, unique over all entries and their restarts.
  std::string request;
  common::Time deadline;
  // Number of failed attempts since the last progress after which the request
  // is refused.
  uint32_t max_attempts_without_progress = 3;
  // After this many refusals by endpoints without a free slot, an attempt may
  // wait for a slot at such an endpoint.
  uint32_t max_busy_refusals = 8;
  // Longest wait for the next frame before the attempt times out.
  common::Duration progress_timeout = common::seconds(5);
};

// Action: send an attempt that begins at this offset of the answer.
struct StartAttempt {
  stream::AttemptId id;
  uint64_t offset = 0;
  // The endpoint that has the stream's state; to be picked if available.
  std::optional<std::string> prefer;
  // Endpoints that failed this request.
  std::set<std::string> avoid;
  // Number of refusals so far by endpoints without a free slot.
  uint32_t busy_refusals = 0;
  // Whether the attempt may wait for a slot at an endpoint that has none free.
  bool may_wait = false;
  // Whether the attempt repeats work and so counts against the retry budget.
  bool is_retry = false;
};

// Action: wait this long for the current attempt's next frame.
struct ReadFrame {
  common::Duration timeout;
};

// Action: send the text to the caller, then report OnDelivered() unless it is
// the last.
struct DeliverText {
  std::string text;
  bool last = false;
};

// Final: the request is refused.
struct GiveUp {
  refusal::Refusal refusal;
};

using Action = std::variant<StartAttempt, ReadFrame, DeliverText, GiveUp>;

// How the current attempt ended without its last frame.
enum class AttemptEnd {
  // No connection could be made; nothing was sent.
  kNotSent,
  // The endpoint refused it as not run.
  kRefused,
  // The endpoint refused it as not run because no slot was free.
  kBusy,
  // The connection broke after the attempt was sent.
  kBroken,
  // No frame arrived within the progress timeout; the connection is not used
  // any further.
  kTimedOut,
};

// The retry decisions of one idempotent request. Does no I/O: the caller
// carries out the returned action and reports its outcome.
class Exchange {
 public:
  explicit Exchange(ExchangeOptions options);

  Action Start(common::Time now);
  // The attempt was sent to `endpoint`.
  Action OnSent(const std::string& endpoint, common::Time now);
  // No endpoint is available for the attempt.
  Action OnNoEndpoint(common::Time now);
  // The request's content is quarantined for this long.
  Action OnQuarantined(common::Duration ends_in);
  // The retry budget does not allow the attempt.
  Action OnRetryBudgetExhausted(common::Time now);
  Action OnFrame(const stream::Frame& frame, common::Time now);
  // The text of a DeliverText was sent to the caller.
  Action OnDelivered(common::Time now);
  // `retry_after` is what the endpoint asked for when it refused the attempt.
  Action OnAttemptEnd(AttemptEnd end,
                      std::optional<common::Duration> retry_after,
                      common::Time now);

  const stream::StreamAssembler& assembler() const { return assembler_; }

 private:
  Action NextAttempt(std::optional<std::string> prefer, common::Time now);
  Action OnBusy(common::Time now);
  // From now on attempts may wait for a slot, and busy endpoints are no longer
  // avoided.
  Action WaitAtBusy(common::Time now);
  Action Read(common::Time now) const;
  Action Abandon(refusal::Code code, std::string message) const;

  ExchangeOptions options_;
  stream::StreamAssembler assembler_;
  std::string endpoint_;
  std::set<std::string> avoid_;
  // Endpoints that refused for lack of a free slot; a subset of `avoid_`.
  std::set<std::string> busy_;
  uint32_t busy_refusals_ = 0;
  bool may_wait_ = false;
  uint32_t attempts_without_progress_ = 0;
  uint64_t offset_at_start_ = 0;
  // Whether any endpoint may have started to run the request.
  bool may_have_run_ = false;
  bool retried_same_endpoint_ = false;
  // Whether the next attempt repeats one that made no progress.
  bool repeats_work_ = false;
  std::optional<common::Duration> retry_after_;
};

}  // namespace wagtailshore::exchange

#endif  // COORDINATION_EXCHANGE_EXCHANGE_H_
