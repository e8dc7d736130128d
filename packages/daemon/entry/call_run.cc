#include "daemon/entry/call_run.h"

#include <algorithm>
#include <optional>
#include <thread>
#include <utility>

#include "common/digest.h"
#include "common/event_log.h"
#include "common/strings.h"
#include "coordination/exchange/exchange.h"
#include "transport/http_client/http_client.h"

namespace wagtailshore::entry {
namespace {

// Maximum time to wait for a plain service's answer to one attempt.
constexpr common::Duration kCallTimeout = common::seconds(10);
constexpr int kOk = 200;

// The endpoint's reply to one attempt, or the reason why there is none.
using SendOutcome = std::variant<messages::CallReply, http_client::CallFailure>;

SendOutcome Send(const PickedEndpoint& endpoint,
                 const messages::CallAttempt& attempt,
                 common::Duration timeout) {
  auto outcome = http_client::Call(
      {.method = "POST",
       .url = common::StrCat("http://", endpoint.traffic_address, "/call"),
       .body = messages::Encode(attempt)},
      timeout);
  if (auto* failure = std::get_if<http_client::CallFailure>(&outcome)) {
    return std::move(*failure);
  }
  const auto& reply = std::get<http_client::Reply>(outcome);
  auto decoded = messages::DecodeCallReply(reply.body);
  if (reply.status != kOk || !decoded.ok() || decoded->id != attempt.id) {
    return http_client::CallFailure{.sent = true,
                                    .reason = "the reply cannot be read"};
  }
  return *std::move(decoded);
}

messages::CallAttempt AttemptOf(const Admitted& admitted,
                                const http_api::ServiceCall& call,
                                const std::string& endpoint,
                                const stream::AttemptId& id) {
  return {.id = id,
          .endpoint = endpoint,
          .customer = admitted.customer,
          .service = call.service,
          .call = call.call,
          .body = call.body,
          .idempotency_key = "",
          .deadline_ms =
              common::ToMilliseconds(admitted.deadline - common::Clock::now()),
          .dispatch = std::nullopt};
}

// Executes the actions of an exchange for one idempotent call.
class IdempotentRun {
 public:
  IdempotentRun(EntryControl& control,
                const Admitted& admitted,
                const http_api::ServiceCall& call)
      : control_(control),
        admitted_(admitted),
        call_(call),
        exchange_({.request = admitted.request_id,
                   .deadline = admitted.deadline,
                   .progress_timeout = kCallTimeout}) {}

  CallOutcome Run() {
    exchange::Action action = exchange_.Start(common::Clock::now());
    while (true) {
      if (auto* give_up = std::get_if<exchange::GiveUp>(&action)) {
        return std::move(give_up->refusal);
      }
      if (std::holds_alternative<exchange::DeliverText>(action)) {
        return claims::CallAnswered{reply_.answer};
      }
      if (const auto* start = std::get_if<exchange::StartAttempt>(&action)) {
        action = Start(*start);
      } else {
        action = Read(std::get<exchange::ReadFrame>(action));
      }
    }
  }

 private:
  exchange::Action Start(const exchange::StartAttempt& start) {
    const common::Time now = common::Clock::now();
    if (start.is_retry && !control_.TryTakeRetry()) {
      return exchange_.OnRetryBudgetExhausted(now);
    }
    const auto picked = control_.Pick(
        admitted_, {.target = call_.service, .avoid = start.avoid});
    if (!picked.has_value()) {
      return exchange_.OnNoEndpoint(now);
    }
    endpoint_ = *picked;
    attempt_ = AttemptOf(admitted_, call_, endpoint_.name, start.id);
    return exchange_.OnSent(endpoint_.name, now);
  }

  exchange::Action Read(const exchange::ReadFrame& read) {
    SendOutcome outcome = Send(endpoint_, attempt_, read.timeout);
    const common::Time now = common::Clock::now();
    if (const auto* failure = std::get_if<http_client::CallFailure>(&outcome)) {
      control_.Report(endpoint_.name, AttemptResult::kFailed);
      return exchange_.OnAttemptEnd(failure->sent
                                        ? exchange::AttemptEnd::kBroken
                                        : exchange::AttemptEnd::kNotSent,
                                    std::nullopt, now);
    }
    reply_ = std::get<messages::CallReply>(std::move(outcome));
    switch (reply_.result) {
      case messages::CallResult::kAnswered:
        control_.Report(endpoint_.name, AttemptResult::kServed);
        return exchange_.OnFrame({.id = reply_.id, .tokens = 1, .last = true},
                                 now);
      case messages::CallResult::kNotRun:
        control_.Report(endpoint_.name, AttemptResult::kRefused);
        return exchange_.OnAttemptEnd(
            exchange::AttemptEnd::kRefused,
            common::milliseconds(reply_.retry_after_ms), now);
      case messages::CallResult::kUnknown:
        break;
    }
    control_.Report(endpoint_.name, AttemptResult::kFailed);
    return exchange_.OnAttemptEnd(exchange::AttemptEnd::kBroken, std::nullopt,
                                  now);
  }

  EntryControl& control_;
  const Admitted& admitted_;
  const http_api::ServiceCall& call_;
  exchange::Exchange exchange_;
  PickedEndpoint endpoint_;
  messages::CallAttempt attempt_;
  messages::CallReply reply_;
};

// Distinguishes requests that carry the same idempotency key. Each part is
// hashed separately, so that requests whose parts concatenate to the same text
// have different digests.
std::string RequestDigest(const http_api::ServiceCall& call) {
  return common::Sha256Hex(common::StrCat(common::Sha256Hex(call.service),
                                          common::Sha256Hex(call.call),
                                          common::Sha256Hex(call.body)));
}

// Executes the actions of a claim for one non-idempotent call.
class NonIdempotentRun {
 public:
  NonIdempotentRun(EntryControl& control,
                   const Admitted& admitted,
                   const http_api::ServiceCall& call,
                   std::string idempotency_key)
      : control_(control),
        admitted_(admitted),
        call_(call),
        idempotency_key_(std::move(idempotency_key)),
        claim_({.row_key = claims::RowKey(admitted.customer, idempotency_key_),
                .request_digest = RequestDigest(call),
                .deadline = admitted.deadline,
                .new_token = &common::RandomId}) {}

  CallOutcome Run() {
    claims::EntryAction action = claim_.Start(common::Clock::now());
    while (true) {
      if (auto* answered = std::get_if<claims::CallAnswered>(&action)) {
        return std::move(*answered);
      }
      if (auto* refused = std::get_if<claims::CallRefused>(&action)) {
        return std::move(refused->refusal);
      }
      action = std::visit([this](const auto& step) { return Perform(step); },
                          action);
    }
  }

 private:
  claims::EntryAction Perform(const table::ReadRow& read) {
    const table::ReadOutcome outcome = control_.node().platform().Read(
        read, claim_.StepTimeout(common::Clock::now()));
    return claim_.OnRead(outcome, common::Clock::now());
  }

  claims::EntryAction Perform(const table::WriteRow& write) {
    const table::WriteOutcome outcome = control_.node().platform().Write(
        write, claim_.StepTimeout(common::Clock::now()));
    return claim_.OnWrite(outcome, common::Clock::now());
  }

  claims::EntryAction Perform(const claims::Wait& wait) {
    std::this_thread::sleep_for(wait.duration);
    return claim_.OnWaited(common::Clock::now());
  }

  claims::EntryAction Perform(const claims::SendDispatch& send) {
    const claims::DispatchOutcome outcome = SendTo(send.dispatch);
    return claim_.OnDispatched(outcome, common::Clock::now());
  }

  // Run() returns on these actions before it would perform them.
  claims::EntryAction Perform(const claims::CallAnswered& done) { return done; }
  claims::EntryAction Perform(const claims::CallRefused& done) { return done; }

  claims::DispatchOutcome SendTo(const claims::Dispatch& dispatch) {
    const auto picked =
        control_.Pick(admitted_, {.target = call_.service, .avoid = avoid_});
    if (!picked.has_value()) {
      return claims::NoEndpoint{};
    }
    messages::CallAttempt attempt =
        AttemptOf(admitted_, call_, picked->name,
                  {.request = admitted_.request_id, .attempt = ++attempts_});
    attempt.idempotency_key = idempotency_key_;
    attempt.dispatch = dispatch;
    const common::Duration timeout =
        std::min(kCallTimeout, claim_.StepTimeout(common::Clock::now()));
    // The endpoint must not start the call after this entry has stopped waiting
    // for the reply.
    attempt.deadline_ms = common::ToMilliseconds(timeout);
    SendOutcome outcome = Send(*picked, attempt, timeout);
    if (const auto* failure = std::get_if<http_client::CallFailure>(&outcome)) {
      control_.Report(picked->name, AttemptResult::kFailed);
      avoid_.insert(picked->name);
      return failure->sent ? claims::DispatchOutcome(claims::DispatchLost{})
                           : claims::DispatchOutcome(claims::DispatchNotSent{});
    }
    return ToOutcome(picked->name, std::get<messages::CallReply>(outcome));
  }

  claims::DispatchOutcome ToOutcome(const std::string& endpoint,
                                    const messages::CallReply& reply) {
    switch (reply.result) {
      case messages::CallResult::kAnswered:
        control_.Report(endpoint, AttemptResult::kServed);
        return claims::AttemptAnswered{reply.answer};
      case messages::CallResult::kNotRun:
        control_.Report(endpoint, AttemptResult::kRefused);
        avoid_.insert(endpoint);
        return claims::AttemptNotRun{reply.code};
      case messages::CallResult::kUnknown:
        break;
    }
    control_.Report(endpoint, AttemptResult::kFailed);
    return claims::AttemptUnknown{};
  }

  EntryControl& control_;
  const Admitted& admitted_;
  const http_api::ServiceCall& call_;
  std::string idempotency_key_;
  claims::EntryClaim claim_;
  std::set<std::string> avoid_;
  uint32_t attempts_ = 0;
};

}  // namespace

CallOutcome RunIdempotentCall(EntryControl& control,
                              const Admitted& admitted,
                              const http_api::ServiceCall& call) {
  return IdempotentRun(control, admitted, call).Run();
}

CallOutcome RunNonIdempotentCall(EntryControl& control,
                                 const Admitted& admitted,
                                 const http_api::ServiceCall& call,
                                 const std::string& idempotency_key) {
  CallOutcome outcome =
      NonIdempotentRun(control, admitted, call, idempotency_key).Run();
  const auto* refused = std::get_if<refusal::Refusal>(&outcome);
  if (refused != nullptr && refused->ran == refusal::Ran::kUnknown) {
    common::LogEvent(common::EventId::kOutcomeUnknown,
                     common::StrCat("request=", admitted.request_id,
                                    " customer=", admitted.customer));
  }
  return outcome;
}

CallOutcome LookUpOutcome(const platform_client::PlatformClient& platform,
                          const std::string& customer,
                          const std::string& idempotency_key) {
  constexpr common::Duration kRetryAfter = common::seconds(1);
  const table::ReadOutcome outcome =
      platform.Read({claims::RowKey(customer, idempotency_key)});
  const auto* read = std::get_if<table::RowRead>(&outcome);
  if (read == nullptr) {
    return refusal::Refusal{.code = refusal::Code::kStoreUnavailable,
                            .ran = refusal::Ran::kUnknown,
                            .message = "the outcome cannot be read now",
                            .retry_after = kRetryAfter};
  }
  if (read->row.version == 0) {
    return refusal::Refusal{.code = refusal::Code::kNotFound,
                            .message = "no call with this key was made"};
  }
  const auto row = claims::Parse(read->row.value);
  if (!row.ok()) {
    return refusal::Refusal{.code = refusal::Code::kOutcomeUnknown,
                            .ran = refusal::Ran::kUnknown,
                            .message = "the record of this key is damaged"};
  }
  switch (row->state) {
    case claims::ClaimState::kDone:
      return claims::CallAnswered{row->answer, /*replayed=*/true};
    case claims::ClaimState::kNotRun:
      return refusal::Refusal{.code = refusal::Code::kNoEndpoint,
                              .ran = refusal::Ran::kNotRun,
                              .message = "the call did not run",
                              .retry_after = kRetryAfter};
    case claims::ClaimState::kUnknown:
      return refusal::Refusal{.code = refusal::Code::kOutcomeUnknown,
                              .ran = refusal::Ran::kUnknown,
                              .message = "the call's answer was lost"};
    case claims::ClaimState::kClaimed:
    case claims::ClaimState::kStarted:
      break;
  }
  return refusal::Refusal{.code = refusal::Code::kOutcomeUnknown,
                          .ran = refusal::Ran::kUnknown,
                          .message = "the call has not ended",
                          .retry_after = kRetryAfter};
}

}  // namespace wagtailshore::entry
