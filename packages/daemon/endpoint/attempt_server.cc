#include "daemon/endpoint/attempt_server.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "common/digest.h"
#include "common/strings.h"
#include "coordination/claims/endpoint_claim.h"
#include "daemon/endpoint/engine_stream.h"
#include "daemon/endpoint/settler.h"
#include "transport/http_client/http_client.h"

namespace wagtailshore::endpoint {
namespace {

using Json = nlohmann::json;

// Maximum time to wait for the engine's next piece before the attempt fails.
constexpr common::Duration kEngineTimeout = common::seconds(30);
constexpr common::Duration kRetryAfter = common::seconds(1);

http_server::FullResponse Refused(std::optional<common::Duration> retry_after) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(
      retry_after.value_or(kRetryAfter));
  return {.status = messages::kRefusedStatus,
          .headers = {{"Retry-After", common::StrCat(seconds.count())}},
          .body = "not run\n"};
}

// Deleter that removes one attempt from the gate's in-flight count.
struct GateRelease {
  void operator()(node::Node* node) const {
    node->control().Post([node] { node->gate().End(); });
  }
};
using GateHold = std::unique_ptr<node::Node, GateRelease>;

// Counts one attempt as in flight while the result exists. Returns null when
// the process is draining.
GateHold TryHold(node::Node& node) {
  const bool begun =
      node.control().Call([&] { return node.gate().TryBegin(); });
  return GateHold(begun ? &node : nullptr);
}

// Whether the engine already runs as many requests as it has slots.
bool IsFull(node::Node& node) {
  const uint32_t slots = node.settings().engine_slots;
  return slots > 0 && node.gate().in_flight() >= slots;
}

// Says that the attempt did not run because this endpoint has no free slot; the
// entry may try another one.
http_server::FullResponse Busy() {
  return {.status = messages::kBusyStatus, .body = "not run\n"};
}

// Streams an engine's answer as frames.
class FrameSource final : public http_server::BodySource {
 public:
  FrameSource(GateHold hold,
              std::unique_ptr<EngineStream> engine,
              const messages::GenerateAttempt& attempt,
              EnginePiece first)
      : hold_(std::move(hold)),
        engine_(std::move(engine)),
        id_(attempt.id),
        offset_(attempt.offset),
        next_(std::move(first)) {}

  http_server::BodyPart Next() override {
    if (done_) {
      return http_server::BodyEnd{};
    }
    const EngineOutcome outcome =
        next_.has_value() ? EngineOutcome(*std::exchange(next_, std::nullopt))
                          : engine_->Next(kEngineTimeout);
    const auto* piece = std::get_if<EnginePiece>(&outcome);
    if (piece == nullptr) {
      return http_server::BodyAbort{};
    }
    const stream::Frame frame{.id = id_,
                              .offset = offset_,
                              .tokens = piece->tokens,
                              .text = piece->text,
                              .last = piece->last};
    offset_ += piece->tokens;
    done_ = piece->last;
    return http_server::BodyChunk{
        messages::AddSizePrefix(messages::Encode(frame))};
  }

 private:
  GateHold hold_;
  std::unique_ptr<EngineStream> engine_;
  stream::AttemptId id_;
  uint64_t offset_;
  std::optional<EnginePiece> next_;
  bool done_ = false;
};

// Returns the idempotency key that is sent to the service. Two customers may
// use the same key; a prefix of fixed length, derived from the customer's name,
// keeps theirs distinct.
std::string ServiceKey(const messages::CallAttempt& attempt) {
  constexpr size_t kCustomerDigits = 16;
  if (attempt.idempotency_key.empty()) {
    return "";
  }
  return common::StrCat(
      common::Sha256Hex(attempt.customer).substr(0, kCustomerDigits), "/",
      attempt.idempotency_key);
}

// Calls the service and returns its answer, or nothing when none was received.
// Sets `sent` to whether the service may have received the call.
std::optional<claims::ServiceAnswer> CallService(
    const std::string& service_url,
    const messages::CallAttempt& attempt,
    common::Duration timeout,
    bool& sent) {
  Json body = {{"service", attempt.service}, {"call", attempt.call}};
  body["input"] = Json::parse(attempt.body.empty() ? "null" : attempt.body,
                              nullptr, /*allow_exceptions=*/false);
  const auto outcome = http_client::Call(
      {.method = "POST",
       .url = common::StrCat(service_url, "/call"),
       .headers = {{"Idempotency-Key", ServiceKey(attempt)}},
       .body = body.dump(-1, ' ', false, Json::error_handler_t::replace)},
      timeout);
  if (const auto* failure = std::get_if<http_client::CallFailure>(&outcome)) {
    sent = failure->sent;
    return std::nullopt;
  }
  sent = true;
  const auto& reply = std::get<http_client::Reply>(outcome);
  return claims::ServiceAnswer{.status = reply.status, .body = reply.body};
}

messages::CallReply NotRun(const stream::AttemptId& id, refusal::Code code) {
  return {.id = id,
          .result = messages::CallResult::kNotRun,
          .answer = {},
          .code = code,
          .retry_after_ms = common::ToMilliseconds(kRetryAfter)};
}

// Executes the actions of an endpoint's claim for one non-idempotent call.
class NonIdempotentRun {
 public:
  NonIdempotentRun(const node::Node& node, const messages::CallAttempt& attempt)
      : node_(node),
        attempt_(attempt),
        deadline_(common::Clock::now() +
                  common::milliseconds(attempt.deadline_ms)),
        claim_({.dispatch = *attempt.dispatch,
                .deadline = deadline_,
                .start_token = common::RandomId(),
                .outcome_token = common::RandomId()}) {}

  messages::CallReply Run() {
    claims::EndpointAction action = claim_.Start(common::Clock::now());
    while (true) {
      if (std::holds_alternative<claims::RunService>(action)) {
        action = CallBackend();
      } else if (auto next =
                     PerformTableAction(node_.platform(), claim_, action)) {
        action = *std::move(next);
      } else {
        return ToReply(action);
      }
    }
  }

  // Returns the claim, whose outcome may still have to be recorded in its row.
  claims::EndpointClaim TakeClaim() { return std::move(claim_); }

 private:
  claims::EndpointAction CallBackend() {
    bool sent = false;
    auto answer = CallService(node_.settings().service_url, attempt_,
                              deadline_ - common::Clock::now(), sent);
    if (answer.has_value()) {
      return claim_.OnServiceAnswer(*std::move(answer));
    }
    return sent ? claim_.OnServiceAnswerLost() : claim_.OnServiceNotReached();
  }

  messages::CallReply ToReply(const claims::EndpointAction& action) const {
    if (const auto* done = std::get_if<claims::AttemptAnswered>(&action)) {
      return {.id = attempt_.id,
              .result = messages::CallResult::kAnswered,
              .answer = done->answer};
    }
    if (const auto* not_run = std::get_if<claims::AttemptNotRun>(&action)) {
      return NotRun(attempt_.id, not_run->code);
    }
    return {.id = attempt_.id, .result = messages::CallResult::kUnknown};
  }

  const node::Node& node_;
  const messages::CallAttempt& attempt_;
  common::Time deadline_;
  claims::EndpointClaim claim_;
};

}  // namespace

http_server::Response AttemptServer::OnRequest(
    const http_server::Request& request) {
  if (request.method == "POST" && request.path == "/generate") {
    return OnGenerate(request.body);
  }
  if (request.method == "POST" && request.path == "/call") {
    return OnCall(request.body);
  }
  return http_server::FullResponse{.status = 404, .body = "no such path\n"};
}

http_server::Response AttemptServer::OnGenerate(const std::string& body) {
  const auto attempt = messages::DecodeGenerateAttempt(body);
  if (!attempt.ok() || node_.settings().engine_url.empty()) {
    return http_server::FullResponse{.status = 400, .body = "bad attempt\n"};
  }
  if (attempt->endpoint != node_.settings().name) {
    return Refused(std::nullopt);
  }
  const bool full = node_.control().Call([this] { return IsFull(node_); });
  if (full && !attempt->may_wait) {
    return Busy();
  }
  GateHold hold = TryHold(node_);
  if (hold == nullptr) {
    return Refused(std::nullopt);
  }
  auto engine =
      std::make_unique<EngineStream>(node_.settings().engine_url, *attempt);
  // The first piece is fetched before the response begins, so that a refusal
  // can still be sent with its own HTTP status.
  EngineOutcome first = engine->Next(kEngineTimeout);
  if (const auto* refused = std::get_if<EngineRefused>(&first)) {
    return Refused(refused->retry_after);
  }
  if (std::holds_alternative<EngineFailed>(first)) {
    return http_server::FullResponse{.status = 502, .body = "engine failed\n"};
  }
  return http_server::StreamedResponse{
      .content_type = "application/octet-stream",
      .source = std::make_unique<FrameSource>(
          std::move(hold), std::move(engine), *attempt,
          std::get<EnginePiece>(std::move(first)))};
}

http_server::Response AttemptServer::OnCall(const std::string& body) {
  const auto attempt = messages::DecodeCallAttempt(body);
  if (!attempt.ok() || node_.settings().service_url.empty()) {
    return http_server::FullResponse{.status = 400, .body = "bad attempt\n"};
  }
  const GateHold hold = TryHold(node_);
  messages::CallReply reply;
  if (attempt->endpoint != node_.settings().name) {
    reply = NotRun(attempt->id, refusal::Code::kNoEndpoint);
  } else if (hold == nullptr) {
    reply = NotRun(attempt->id, refusal::Code::kDraining);
  } else if (attempt->dispatch.has_value()) {
    reply = RunNonIdempotent(*attempt);
  } else {
    reply = RunIdempotent(*attempt);
  }
  return http_server::FullResponse{.content_type = "application/octet-stream",
                                   .body = messages::Encode(reply)};
}

messages::CallReply AttemptServer::RunNonIdempotent(
    const messages::CallAttempt& attempt) {
  NonIdempotentRun run(node_, attempt);
  messages::CallReply reply = run.Run();
  settler_.Add(run.TakeClaim());
  return reply;
}

messages::CallReply AttemptServer::RunIdempotent(
    const messages::CallAttempt& attempt) {
  bool sent = false;
  auto answer = CallService(node_.settings().service_url, attempt,
                            common::milliseconds(attempt.deadline_ms), sent);
  if (answer.has_value()) {
    return {.id = attempt.id,
            .result = messages::CallResult::kAnswered,
            .answer = *std::move(answer)};
  }
  if (!sent) {
    return NotRun(attempt.id, refusal::Code::kNoEndpoint);
  }
  return {.id = attempt.id, .result = messages::CallResult::kUnknown};
}

}  // namespace wagtailshore::endpoint
