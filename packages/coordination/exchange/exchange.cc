#include "coordination/exchange/exchange.h"

#include <algorithm>
#include <utility>

#include "common/invariant.h"

namespace wagtailshore::exchange {
namespace {

constexpr common::Duration kDefaultRetryAfter = common::seconds(1);

}  // namespace

Exchange::Exchange(ExchangeOptions options)
    : options_(std::move(options)), assembler_(options_.request) {}

Action Exchange::Start(common::Time now) {
  return NextAttempt(std::nullopt, now);
}

Action Exchange::OnSent(const std::string& endpoint, common::Time now) {
  endpoint_ = endpoint;
  offset_at_start_ = assembler_.next_offset();
  return Read(now);
}

Action Exchange::OnNoEndpoint(common::Time now) {
  if (!busy_.empty()) {
    // All other endpoints failed or are busy too.
    return WaitAtBusy(now);
  }
  return Abandon(refusal::Code::kNoEndpoint, "no endpoint is available");
}

Action Exchange::OnQuarantined(common::Duration ends_in) {
  retry_after_ = ends_in;
  return Abandon(refusal::Code::kQuarantined,
                 "this content crashed two endpoints");
}

Action Exchange::OnRetryBudgetExhausted(common::Time) {
  return Abandon(refusal::Code::kOverloaded,
                 "the retry budget is exhausted; retry later");
}

Action Exchange::OnFrame(const stream::Frame& frame, common::Time now) {
  const stream::FrameOutcome outcome = assembler_.Accept(frame);
  if (const auto* deliver = std::get_if<stream::Deliver>(&outcome)) {
    return DeliverText{deliver->text, deliver->last};
  }
  if (std::holds_alternative<stream::Discard>(outcome)) {
    return Read(now);
  }
  return OnAttemptEnd(AttemptEnd::kBroken, std::nullopt, now);
}

Action Exchange::OnDelivered(common::Time now) {
  WS_INVARIANT(!assembler_.complete()) << "nothing follows the last frame";
  return Read(now);
}

Action Exchange::OnAttemptEnd(AttemptEnd end,
                              std::optional<common::Duration> retry_after,
                              common::Time now) {
  if (end == AttemptEnd::kBusy && !may_wait_) {
    return OnBusy(now);
  }
  const bool progressed = assembler_.next_offset() > offset_at_start_;
  if (progressed) {
    attempts_without_progress_ = 0;
    retried_same_endpoint_ = false;
  }
  ++attempts_without_progress_;
  repeats_work_ = !progressed;
  if (retry_after.has_value()) {
    retry_after_ = retry_after;
  }
  if (end == AttemptEnd::kBroken || end == AttemptEnd::kTimedOut) {
    may_have_run_ = true;
  }
  // A timeout does not prove that the endpoint failed: the endpoint that has
  // the stream's state is tried once more on a new connection.
  if (end == AttemptEnd::kTimedOut && progressed && !retried_same_endpoint_) {
    retried_same_endpoint_ = true;
    return NextAttempt(endpoint_, now);
  }
  avoid_.insert(endpoint_);
  return NextAttempt(std::nullopt, now);
}

Action Exchange::OnBusy(common::Time now) {
  busy_.insert(endpoint_);
  avoid_.insert(endpoint_);
  ++busy_refusals_;
  if (busy_refusals_ >= options_.max_busy_refusals) {
    return WaitAtBusy(now);
  }
  return NextAttempt(std::nullopt, now);
}

Action Exchange::WaitAtBusy(common::Time now) {
  may_wait_ = true;
  for (const std::string& endpoint : busy_) {
    avoid_.erase(endpoint);
  }
  busy_.clear();
  return NextAttempt(std::nullopt, now);
}

Action Exchange::NextAttempt(std::optional<std::string> prefer,
                             common::Time now) {
  if (now >= options_.deadline) {
    return Abandon(refusal::Code::kDeadlineExceeded, "the deadline passed");
  }
  if (attempts_without_progress_ >= options_.max_attempts_without_progress) {
    return Abandon(refusal::Code::kNoEndpoint,
                   "every attempt failed; retry later");
  }
  return StartAttempt{.id = assembler_.StartAttempt(),
                      .offset = assembler_.next_offset(),
                      .prefer = std::move(prefer),
                      .avoid = avoid_,
                      .busy_refusals = busy_refusals_,
                      .may_wait = may_wait_,
                      .is_retry = std::exchange(repeats_work_, false)};
}

Action Exchange::Read(common::Time now) const {
  if (now >= options_.deadline) {
    return Abandon(refusal::Code::kDeadlineExceeded, "the deadline passed");
  }
  return ReadFrame{
      std::min(options_.progress_timeout, options_.deadline - now)};
}

Action Exchange::Abandon(refusal::Code code, std::string message) const {
  const bool may_have_run = may_have_run_ || assembler_.next_offset() > 0 ||
                            code == refusal::Code::kDeadlineExceeded;
  return GiveUp{
      {.code = code,
       .ran = may_have_run ? refusal::Ran::kUnknown : refusal::Ran::kNotRun,
       .message = std::move(message),
       .retry_after = retry_after_.value_or(kDefaultRetryAfter)}};
}

}  // namespace wagtailshore::exchange
