#include "daemon/entry/caller_server.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <utility>

#include "common/event_log.h"
#include "common/strings.h"
#include "daemon/entry/generate_run.h"
#include "state/manifest/manifest.h"

namespace wagtailshore::entry {
namespace {

constexpr common::Duration kRetryAfter = common::seconds(1);
// A customer can burst up to the requests that its rate allows in this time.
constexpr common::Duration kLimitBurst = common::seconds(30);

// Streams a model's answer as server-sent events. The caller fetches the first
// piece before the response begins, so that a refusal before it can still be
// sent with its own HTTP status.
class EventSource final : public http_server::BodySource {
 public:
  EventSource(std::unique_ptr<GenerateRun> run, exchange::DeliverText first)
      : run_(std::move(run)), next_(std::move(first)) {}

  http_server::BodyPart Next() override {
    if (done_) {
      return http_server::BodyEnd{};
    }
    auto piece = next_.has_value() ? Piece(*std::exchange(next_, std::nullopt))
                                   : run_->Next();
    if (const auto* refusal = std::get_if<refusal::Refusal>(&piece)) {
      done_ = true;
      return http_server::BodyChunk{http_api::FormatRefusalEvent(*refusal)};
    }
    return Format(std::get<exchange::DeliverText>(piece));
  }

 private:
  using Piece = std::variant<exchange::DeliverText, refusal::Refusal>;

  http_server::BodyPart Format(const exchange::DeliverText& piece) {
    std::string events;
    if (!piece.text.empty()) {
      events = http_api::FormatTextEvent(piece.text);
    }
    if (piece.last) {
      done_ = true;
      events += http_api::FormatDoneEvent(run_->tokens());
    }
    return http_server::BodyChunk{std::move(events)};
  }

  std::unique_ptr<GenerateRun> run_;
  std::optional<exchange::DeliverText> next_;
  bool done_ = false;
};

http_server::FullResponse AnswerResponse(const claims::CallAnswered& answered) {
  http_server::FullResponse response{.status = answered.answer.status,
                                     .body = answered.answer.body};
  if (answered.replayed) {
    response.headers.emplace_back(http_api::kReplayedHeader, "true");
  }
  return response;
}

refusal::Refusal Refuse(refusal::Code code, std::string message) {
  return {.code = code, .message = std::move(message)};
}

// Returns a refusal if the manifest's wind-down phase does not allow the call.
std::optional<refusal::Refusal> RefusedByPhase(
    manifest::WindDownPhase phase,
    const manifest::Customer& customer,
    const http_api::Call& call) {
  using Phase = manifest::WindDownPhase;
  const bool lookup = std::holds_alternative<http_api::OutcomeLookup>(call);
  const bool refused =
      phase == Phase::kOff || (phase >= Phase::kDrainGroups && !lookup) ||
      (phase >= Phase::kNoNewCustomers && customer.new_customer && !lookup);
  if (!refused) {
    return std::nullopt;
  }
  return Refuse(refusal::Code::kWindDown, "the system is being wound down");
}

// Returns the lower of the customer's priority and the requested one: a caller
// cannot raise its customer's priority.
std::string_view EffectivePriority(const manifest::Customer& customer,
                                   const std::string& requested) {
  const auto priority = std::min(
      customer.priority, common::ValueOf(manifest::kPriorityNames, requested)
                             .value_or(customer.priority));
  return common::NameOf(manifest::kPriorityNames, priority);
}

}  // namespace

http_server::FullResponse RefusalResponse(const refusal::Refusal& refusal) {
  http_server::FullResponse response{
      .status = refusal::HttpStatus(refusal.code),
      .body = http_api::FormatRefusal(refusal)};
  if (const auto seconds = http_api::RetryAfterSeconds(refusal)) {
    response.headers.emplace_back("Retry-After", *seconds);
  }
  return response;
}

http_server::FullResponse CallerServer::Refused(
    const refusal::Refusal& refusal) {
  control_.RecordRefused(refusal.code);
  return RefusalResponse(refusal);
}

http_server::FullResponse CallerServer::Respond(const CallOutcome& outcome) {
  if (const auto* answered = std::get_if<claims::CallAnswered>(&outcome)) {
    control_.RecordComplete();
    return AnswerResponse(*answered);
  }
  return Refused(std::get<refusal::Refusal>(outcome));
}

std::variant<http_api::Call, refusal::Refusal> CallerServer::Parse(
    const http_server::Request& request) {
  const std::lock_guard lock(parse_mutex_);
  return http_api::ParseCall(request.method, request.path, request.body);
}

http_server::Response CallerServer::OnRequest(http_server::Request request) {
  auto envelope = http_api::ParseEnvelope(request.headers);
  if (const auto* refusal = std::get_if<refusal::Refusal>(&envelope)) {
    return Refused(*refusal);
  }
  auto call = Parse(request);
  // The call has all of it; the request may run for long.
  std::string().swap(request.body);
  if (const auto* refusal = std::get_if<refusal::Refusal>(&call)) {
    return Refused(*refusal);
  }
  const auto& parsed_envelope = std::get<http_api::Envelope>(envelope);
  auto& parsed_call = std::get<http_api::Call>(call);
  auto admitted = Admit(parsed_envelope, parsed_call);
  if (const auto* refusal = std::get_if<refusal::Refusal>(&admitted)) {
    common::LogEvent(common::EventId::kRequestRefused,
                     common::StrCat("code=", common::NameOf(refusal::kCodeNames,
                                                            refusal->code)));
    return Refused(*refusal);
  }
  return std::visit(
      [&](auto& kind) {
        return Serve(std::move(std::get<Admitted>(admitted)), parsed_envelope,
                     std::move(kind));
      },
      parsed_call);
}

std::variant<Admitted, refusal::Refusal> CallerServer::Admit(
    const http_api::Envelope& envelope,
    const http_api::Call& call) {
  return node_.control().Call([&] { return AdmitOnControl(envelope, call); });
}

std::variant<Admitted, refusal::Refusal> CallerServer::AdmitOnControl(
    const http_api::Envelope& envelope,
    const http_api::Call& call) {
  const auto& manifest = node_.manifests().current();
  if (manifest == nullptr) {
    refusal::Refusal refusal =
        Refuse(refusal::Code::kNoManifest, "no manifest has been received yet");
    refusal.retry_after = kRetryAfter;
    return refusal;
  }
  const manifest::Customer* customer =
      core_.customers.Find(manifest->manifest, envelope.key_sha256);
  if (customer == nullptr) {
    return Refuse(refusal::Code::kUnauthorized, "no customer has this key");
  }
  auto phase_refusal =
      RefusedByPhase(manifest->manifest.phase, *customer, call);
  if (phase_refusal.has_value()) {
    return *std::move(phase_refusal);
  }
  const common::Time now = common::Clock::now();
  auto load_refusal = RefusedByLoad(now + envelope.timeout, call);
  if (load_refusal.has_value()) {
    return *std::move(load_refusal);
  }
  auto limit_refusal = RefusedByLimit(*customer, call);
  if (limit_refusal.has_value()) {
    return *std::move(limit_refusal);
  }
  if (!node_.gate().TryBegin()) {
    refusal::Refusal refusal =
        Refuse(refusal::Code::kDraining, "this entry is stopping");
    refusal.retry_after = kRetryAfter;
    return refusal;
  }
  return Admitted{
      .request_id =
          common::StrCat(node_.incarnation(), "-", core_.next_request++),
      .customer = customer->name,
      .priority = std::string(EffectivePriority(*customer, envelope.priority)),
      .deadline = now + envelope.timeout,
      .manifest = manifest,
      .in_flight = InFlight(node_)};
}

std::optional<refusal::Refusal> CallerServer::RefusedByLimit(
    const manifest::Customer& customer,
    const http_api::Call& call) {
  // A look-up puts no load on the endpoints, and its result may save the caller
  // from repeating the call.
  if (std::holds_alternative<http_api::OutcomeLookup>(call)) {
    return std::nullopt;
  }
  const common::Time now = common::Clock::now();
  limits::TokenBucket& bucket =
      core_.limit_buckets.try_emplace(customer.name, kLimitBurst).first->second;
  bucket.SetRate(customer.requests_per_second / node_.settings().limit_entries,
                 now);
  if (bucket.TryTake(now)) {
    return std::nullopt;
  }
  refusal::Refusal refusal =
      Refuse(refusal::Code::kLimited, "the customer's rate limit is exhausted");
  refusal.retry_after = bucket.UntilNext(now);
  return refusal;
}

std::optional<refusal::Refusal> CallerServer::RefusedByLoad(
    common::Time deadline,
    const http_api::Call& call) {
  const auto* generate = std::get_if<http_api::GenerateCall>(&call);
  if (generate == nullptr) {
    return std::nullopt;
  }
  const common::Time now = common::Clock::now();
  const double wait_ms = core_.router.PredictedWaitMs(generate->model, now);
  const double left_ms =
      std::chrono::duration<double, std::milli>(deadline - now).count();
  // An infinite wait means that no endpoint serves the model; the request is
  // refused later, with the code for that.
  if (std::isinf(wait_ms) || wait_ms < left_ms) {
    return std::nullopt;
  }
  refusal::Refusal refusal =
      Refuse(refusal::Code::kOverloaded,
             "the first token is expected only after the deadline");
  refusal.retry_after =
      std::max(kRetryAfter, common::Duration(common::milliseconds(
                                static_cast<int64_t>(wait_ms - left_ms))));
  return refusal;
}

http_server::Response CallerServer::Serve(Admitted admitted,
                                          const http_api::Envelope&,
                                          http_api::GenerateCall call) {
  const auto& groups = admitted.manifest->manifest.groups;
  const bool known =
      std::any_of(groups.begin(), groups.end(),
                  [&](const auto& group) { return group.model == call.model; });
  if (!known) {
    return Refused(Refuse(refusal::Code::kNotFound, "no such model"));
  }
  const bool streamed = call.stream;
  // The run records its outcome in the metrics itself.
  auto run = std::make_unique<GenerateRun>(control_, std::move(admitted),
                                           std::move(call));
  auto piece = run->Next();
  if (const auto* refusal = std::get_if<refusal::Refusal>(&piece)) {
    return RefusalResponse(*refusal);
  }
  auto& first = std::get<exchange::DeliverText>(piece);
  if (streamed) {
    return http_server::StreamedResponse{
        .content_type = "text/event-stream",
        .headers = {{"Cache-Control", "no-store"}},
        .source =
            std::make_unique<EventSource>(std::move(run), std::move(first))};
  }
  std::string text = std::move(first.text);
  while (!std::get<exchange::DeliverText>(piece).last) {
    piece = run->Next();
    if (const auto* refusal = std::get_if<refusal::Refusal>(&piece)) {
      return RefusalResponse(*refusal);
    }
    text += std::get<exchange::DeliverText>(piece).text;
  }
  return http_server::FullResponse{
      .body = http_api::FormatAnswer(text, run->tokens())};
}

http_server::Response CallerServer::Serve(Admitted admitted,
                                          const http_api::Envelope& envelope,
                                          const http_api::ServiceCall& call) {
  const manifest::Service* service =
      manifest::FindService(admitted.manifest->manifest, call.service);
  if (service == nullptr) {
    return Refused(Refuse(refusal::Code::kNotFound, "no such service"));
  }
  if (!manifest::IsNonIdempotent(*service, call.call)) {
    return Respond(RunIdempotentCall(control_, admitted, call));
  }
  if (envelope.idempotency_key.empty()) {
    return Refused(Refuse(refusal::Code::kBadRequest,
                          "this call needs an Idempotency-Key"));
  }
  return Respond(
      RunNonIdempotentCall(control_, admitted, call, envelope.idempotency_key));
}

http_server::Response CallerServer::Serve(Admitted admitted,
                                          const http_api::Envelope& envelope,
                                          const http_api::OutcomeLookup&) {
  if (envelope.idempotency_key.empty()) {
    return Refused(
        Refuse(refusal::Code::kBadRequest, "Idempotency-Key is missing"));
  }
  return Respond(LookUpOutcome(node_.platform(), admitted.customer,
                               envelope.idempotency_key));
}

}  // namespace wagtailshore::entry
