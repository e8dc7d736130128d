#include "daemon/gateway/proxied_run.h"

#include <algorithm>
#include <utility>

#include "common/digest.h"
#include "common/event_log.h"
#include "common/strings.h"
#include "protocol/http1/status.h"

namespace wagtailshore::gateway {
namespace {

// The final answer is sent this long before the caller's deadline, about one
// round trip to the caller.
constexpr common::Duration kAnswerMargin = common::milliseconds(10);
// Mean Retry-After times. A slot of a full endpoint becomes free within about
// one short answer. Without a recent configuration the time is short, as
// another gateway can serve the request.
constexpr common::Duration kRetryWhenFull = common::milliseconds(300);
// A group that lost a rank needs some seconds at least: its connections time
// out, then it forms again.
constexpr common::Duration kRetryWhenGroupStalled = common::milliseconds(2300);
constexpr common::Duration kRetryWhenConfigurationStale =
    common::milliseconds(100);
// Until the operators have corrected a route.
constexpr common::Duration kRetryWhenRouteClosed = common::seconds(1);
// Share of the retry budget's ratio that a gateway uses. Less than 1, as
// attempts in flight at the end of a window count in the next one.
constexpr double kRetryRatioShare = 0.75;
// Failed connection attempts after which a request fails.
constexpr int kMaxConnectFailures = 3;
// An overloaded service has free capacity once some of its requests, each about
// two seconds long, have ended.
constexpr common::Duration kRetryWhenOverloaded = common::milliseconds(1500);
// Range of the priorities sent to endpoints. Requests that can no longer be in
// time get kLateUrgencyStep more, which puts them behind those that can.
constexpr int kMostUrgent = 1;
constexpr int kLeastUrgent = 5;
constexpr int kLateUrgencyStep = 4;
// An attempt from which nothing arrived for this long may be at an endpoint
// that ended without closing its connections.
constexpr common::Duration kSilence = common::seconds(1);
// Limits on what endpoints can make a gateway hold or read, in bytes; a faulty
// one may send bytes without end. See docs/design/server-limits.md.
//
// Largest answer that is buffered before it is relayed, if it is a success and
// if it is not.
constexpr size_t kMaxAnswerBytes = 8 << 20;
constexpr size_t kMaxErrorBytes = 1 << 20;
// Largest sum of answers that are buffered. It does not bind those of up to
// kSmallAnswerBytes, so that large ones cannot exclude them.
constexpr size_t kMaxBufferedBytes = 32 << 20;
constexpr size_t kSmallAnswerBytes = 64 << 10;
// Largest body that is read of an answer that is not relayed.
constexpr size_t kMaxDroppedBytes = 64 << 10;
// Largest event of a stream, and most that a stream sends without a new one.
constexpr size_t kMaxEventBytes = 256 << 10;
constexpr size_t kMaxBytesWithoutEvent = 256 << 10;
// Parts of a prompt are left out of the log beyond this.
constexpr size_t kMaxLoggedPartsBytes = 200;
// Unsent stream data at which a caller that does not read is disconnected.
constexpr size_t kMaxUnsentBytes = 1 << 20;

bool IsSuccess(int status) {
  return status >= http1::kOk && status < http1::kMultipleChoices;
}

// Identifies what the request asks for. It is the same for all repeats by the
// request's customer, which have new attempt ids and may have another key.
std::string ContentDigest(const proxied::CallerRequest& request,
                          const std::optional<std::string>& customer) {
  // 128 bits identify a content as well as the whole digest does.
  constexpr size_t kDigits = 32;
  // None of the parts before the body contains a line break.
  return common::Sha256Hex({customer.has_value() ? *customer : "", "\n",
                            request.method, "\n", request.host, "\n",
                            request.target, "\n", request.body})
      .substr(0, kDigits);
}

// What a crash under the request may be due to.
quarantine::Factors FactorsOf(const proxied::CallerRequest& request,
                              const std::string& content) {
  quarantine::Factors factors = {content};
  std::set<std::string_view> parts;
  for (const std::string& id : request.shared_prompt_parts) {
    if (parts.insert(id).second) {
      factors.push_back(quarantine::PromptPartFactor(id, request.model));
    }
  }
  return factors;
}

// The shared parts of the request's prompt, for the log.
std::string PartsOf(const proxied::CallerRequest& request) {
  std::string parts;
  for (const std::string& id : request.shared_prompt_parts) {
    common::StrAppend(&parts, parts.empty() ? "" : ",", id);
    if (parts.size() > kMaxLoggedPartsBytes) {
      common::StrAppend(&parts, ",...");
      break;
    }
  }
  return parts.empty() ? "none" : parts;
}

// Whether callers may conclude from the status that the request did not run.
bool PromisesNotRun(int status) {
  return status == http1::kRequestTimeout || status == http1::kMisdirected ||
         status == http1::kTooManyRequests || status == http1::kUnavailable;
}

}  // namespace

ProxiedRun::ProxiedRun(GatewayCore& core,
                       http_channel::CallerChannel& channel,
                       proxied::CallerRequest request,
                       std::function<void()> on_end)
    : core_(core),
      channel_(channel),
      request_(std::move(request)),
      on_end_(std::move(on_end)),
      arrived_at_(core.loop.Now()),
      loop_busy_on_arrival_(core.loop.busy_for()) {}

ProxiedRun::~ProxiedRun() {
  // A run that has ended may outlive the gateway.
  if (!ended_) {
    core_.loop.Cancel(deadline_timer_);
  }
}

void ProxiedRun::Start() {
  if (!Authorize()) {
    return;
  }
  if (!route_->closed_by.empty()) {
    log_details_ = common::StrCat(" finding=", route_->closed_by);
    Refuse("route_unreadable", kRetryWhenRouteClosed);
    return;
  }
  content_ = ContentDigest(request_, customer_);
  factors_ = FactorsOf(request_, content_);
  common::Time deadline = arrived_at_ + route_->timeout;
  if (request_.time_left.has_value()) {
    deadline = std::min(deadline, arrived_at_ + *request_.time_left);
  }
  SetDeadline(std::min(deadline, core_.stops_at.value_or(deadline)));
  std::vector<double> weights;
  for (const serving::WeightedService& service : route_->services) {
    weights.push_back(std::max(service.weight, 0.0));
  }
  std::discrete_distribution<size_t> pick(weights.begin(), weights.end());
  service_ = route_->services[pick(core_.random)].service;
  core_.retry_windows
      .try_emplace(service_, retry_window::RetryWindow(
                                 {.window = core_.settings.retry_window,
                                  .ratio = core_.settings.retry_ratio *
                                           kRetryRatioShare}))
      .first->second.OnRequest(arrived_at_);
  if (PassesAdmission()) {
    Dispatch();
  }
}

bool ProxiedRun::PassesAdmission() {
  if (route_->kind != serving::RequestKind::kStream ||
      route_->latency_objective == common::Duration::zero()) {
    return true;
  }
  admission::AdmissionControl& control =
      core_.admissions.try_emplace(service_, admission::AdmissionOptions{})
          .first->second;
  std::uniform_real_distribution<double> chance(0, 1);
  if (!control.Admit(chance(core_.random), arrived_at_)) {
    log_details_ = common::StrCat(" admitted_share=", control.share());
    Refuse("overloaded", kRetryWhenOverloaded);
    return false;
  }
  control.OnSent(arrived_at_, route_->latency_objective);
  awaiting_first_event_ = true;
  return true;
}

void ProxiedRun::EndAdmissionWait(bool started) {
  if (!awaiting_first_event_) {
    return;
  }
  awaiting_first_event_ = false;
  admission::AdmissionControl& control = core_.admissions.at(service_);
  if (started) {
    control.OnStarted(arrived_at_, route_->latency_objective, now());
  } else {
    control.OnEnded(arrived_at_, route_->latency_objective);
  }
}

int ProxiedRun::Urgency() const {
  // The remaining time shows when a caller that retries has already waited
  // longer than the objective.
  const bool already_late =
      request_.time_left.has_value() &&
      *request_.time_left + route_->latency_objective < route_->timeout;
  return std::clamp(kMostUrgent + priority_, kMostUrgent, kLeastUrgent) +
         (already_late ? kLateUrgencyStep : 0);
}

bool ProxiedRun::Authorize() {
  routes_ = core_.store.routes();
  configuration_age_ = core_.freshness.Age(arrived_at_);
  if (routes_ == nullptr) {
    Refuse("no_configuration", kRetryWhenConfigurationStale);
    return false;
  }
  const bool current = core_.freshness.MayTrustKeys(arrived_at_);
  route_ = routes_->FindRoute(request_.host, request_.target);
  if (route_ == nullptr) {
    if (current) {
      RespondLocally(http1::kNotFound, "no_route", std::nullopt);
    } else {
      Refuse("configuration_too_old", kRetryWhenConfigurationStale);
    }
    return false;
  }
  priority_ = route_->priority;
  if (!routes_->NeedsKey(*route_) &&
      (current || !core_.store.newest_refused())) {
    return true;
  }
  if (!current) {
    Refuse("configuration_too_old", kRetryWhenConfigurationStale);
    return false;
  }
  const serving::Customer* customer =
      request_.key.has_value() ? routes_->FindCustomer(*request_.key) : nullptr;
  if (customer == nullptr) {
    const serving::Configuration& configuration = routes_->configuration();
    log_details_ =
        common::StrCat(" key=", request_.key.has_value() ? "unknown" : "absent",
                       " customers=", configuration.customers.size(),
                       " malformed_fields=", configuration.findings.size());
    RespondLocally(http1::kUnauthorized, "unknown_key", std::nullopt);
    return false;
  }
  customer_ = customer->name;
  priority_ = customer->priority.value_or(priority_);
  return true;
}

void ProxiedRun::Dispatch() {
  if (channel_.CloseIfCallerLeft()) {
    return;
  }
  const quarantine::Verdict verdict = core_.crashes.Check(factors_);
  if (const auto* refused = std::get_if<quarantine::Refused>(&verdict)) {
    if (execution_ == Execution::kNotRun) {
      RespondLocally(http1::kUnavailable, "quarantined", refused->ends_in);
    } else {
      Fail("quarantined", refused->ends_in);
    }
    return;
  }
  const auto* rules = std::get_if<quarantine::MayRun>(&verdict);
  if (rules == nullptr) {
    Fail("suspect_in_progress", kRetryWhenFull);
    return;
  }
  while (const auto picked = PickEndpoint(*rules)) {
    const fleet::EndpointRecord* endpoint = core_.fleet.FindUsable(*picked);
    if (endpoint != nullptr) {
      SendTo(*endpoint);
      return;
    }
    core_.router.OnAbandoned(*picked, now());
    core_.router.OnLeaving(*picked);
  }
  FailWithoutEndpoint();
}

std::set<std::string> ProxiedRun::UnusableEndpoints() const {
  std::set<std::string> unusable =
      core_.backpressure.Blocked(core_.registry.LimitShare(now()), now());
  unusable.insert(tried_endpoints_.begin(), tried_endpoints_.end());
  return unusable;
}

std::optional<std::string> ProxiedRun::PickEndpoint(
    const quarantine::MayRun& rules) {
  // Repeats at the same time are not pinned to one endpoint: they would load
  // one rank of a lock-step group, and all others wait for it in every step.
  const std::set<std::string> unusable = UnusableEndpoints();
  routing::PickRequest request{.target = service_, .avoid = unusable};
  if (attempts_ == 0) {
    request.prefer =
        core_.backpressure.Overdue(core_.registry.LimitShare(now()), now());
  }
  for (const std::string& process : rules.avoid) {
    request.avoid.insert(quarantine::EndpointNameOf(process));
  }
  auto picked = core_.router.Pick(request, now());
  if (!picked.has_value() && !rules.avoid.empty()) {
    // Every endpoint that is left runs another suspect. Most suspects are
    // innocent, so being served counts for more than being told apart.
    picked = core_.router.Pick({.target = service_, .avoid = unusable}, now());
  }
  return picked;
}

void ProxiedRun::FailWithoutEndpoint() {
  if (!core_.router.CanPick({.target = service_, .avoid = tried_endpoints_})) {
    Fail("no_endpoint", kRetryWhenFull);
    return;
  }
  // At most the time after which an overloaded service is tried again, as the
  // endpoints may take requests of other gateways before.
  Fail("endpoints_limited",
       std::clamp(TimeUntilEndpoint().value_or(kRetryWhenOverloaded),
                  kRetryWhenFull, kRetryWhenOverloaded));
}

bool ProxiedRun::CanRetry() const {
  return core_.router.CanPick(
      {.target = service_, .avoid = UnusableEndpoints()});
}

std::optional<common::Duration> ProxiedRun::TimeUntilEndpoint() const {
  const auto share = core_.registry.LimitShare(now());
  std::optional<common::Duration> first;
  for (const auto& [id, endpoint] : core_.fleet.endpoints()) {
    if (endpoint.service != service_ || tried_endpoints_.contains(id) ||
        core_.fleet.FindUsable(id) == nullptr) {
      continue;
    }
    const auto time = core_.backpressure.TimeUntilFree(id, share, now());
    if (time.has_value() && (!first.has_value() || *time < *first)) {
      first = time;
    }
  }
  return first;
}

void ProxiedRun::SendTo(const fleet::EndpointRecord& endpoint) {
  endpoint_id_ = endpoint.id;
  endpoint_process_ = fleet::ProcessName(endpoint);
  tried_endpoints_.insert(endpoint.id);
  attempt_started_at_ = now();
  last_received_at_ = attempt_started_at_;
  attempt_first_event_.reset();
  attempt_events_ = 0;
  answer_.reset();
  DropBufferedBody();
  dropped_bytes_ = 0;
  bytes_without_event_ = 0;
  splitter_.Reset();
  streaming_ = false;
  resuming_ = last_event_id_.has_value();
  proxied::Forwarding forwarding{.endpoint_id = endpoint.id,
                                 .customer = customer_,
                                 .time_left = deadline_ - attempt_started_at_,
                                 .urgency = Urgency(),
                                 .resume_after = last_event_id_};
  ++attempts_;
  core_.backpressure.OnSent(endpoint.id, core_.registry.LimitShare(now()),
                            now());
  content_attempt_ = core_.crashes.OnSent(factors_, endpoint_process_);
  exchange_ = &core_.pool.Acquire(endpoint_process_, endpoint.address);
  connection_reused_ = exchange_->connected();
  exchange_->Send(platform::EncodeForwardedHead(request_, forwarding), *this,
                  request_.method == "HEAD", request_.body);
}

bool ProxiedRun::OnReadyToSend() {
  if (channel_.CloseIfCallerLeft()) {
    return false;
  }
  // Connecting took time, in which the endpoint may have answered others.
  if (core_.fleet.FindUsable(endpoint_id_) != nullptr &&
      !core_.backpressure.IsResting(endpoint_id_, now())) {
    return true;
  }
  exchange_->Abandon();
  EndAttempt("withdrawn");
  --attempts_;
  Dispatch();
  return false;
}

http_channel::ResponseOrigin ProxiedRun::OnHead(
    const http1::ResponseHead& head) {
  proxied::EndpointAnswer answer = platform::DecodeEndpointAnswer(head);
  if (!IsOwnAnswer(answer)) {
    ++foreign_answers_;
    return http_channel::ResponseOrigin::kEarlierExchange;
  }
  last_received_at_ = now();
  exchange_->SetIdleLimit(answer.keep_alive);
  if (answer.load.has_value()) {
    core_.router.OnReport(endpoint_id_,
                          {.queued = answer.load->queued,
                           .running = answer.load->running,
                           .slots = answer.load->slots},
                          now());
  }
  NoteDemands(answer);
  streaming_ = route_->kind == serving::RequestKind::kStream &&
               IsSuccess(answer.status) && answer.sealed && !answer.encoded;
  if (!answer.not_run) {
    execution_ = Execution::kMayHaveRun;
  }
  answer_ = std::move(answer);
  return http_channel::ResponseOrigin::kThisExchange;
}

bool ProxiedRun::IsOwnAnswer(const proxied::EndpointAnswer& answer) const {
  if (answer.attempt_id.has_value()) {
    return *answer.attempt_id == request_.attempt_id;
  }
  // Endpoints return the id of the request. Without it, only the first answer
  // on a connection cannot belong to an earlier request.
  return request_.attempt_id.empty() || !connection_reused_;
}

void ProxiedRun::NoteDemands(const proxied::EndpointAnswer& answer) {
  // Another endpoint answered at the address, or the process has been replaced.
  const fleet::EndpointRecord* listed = core_.fleet.Find(endpoint_id_);
  if (answer.status == http1::kMisdirected ||
      (listed != nullptr && fleet::ProcessName(*listed) != endpoint_process_)) {
    return;
  }
  std::uniform_real_distribution<double> spread(0, 1);
  const bool limit_changed = core_.backpressure.OnAnswer(
      endpoint_id_, endpoint_process_,
      {.request_limit = answer.request_limit,
       // What a stalled group or a full queue refuses says nothing about the
       // limit.
       .may_end_limit = answer.sealed && !answer.not_run,
       .rest = answer.rest},
      spread(core_.random), attempt_started_at_, now());
  if (limit_changed) {
    common::LogEvent(common::EventId::kEndpointLimit,
                     common::StrCat("endpoint=", endpoint_process_, " limit=",
                                    answer.request_limit.has_value()
                                        ? common::StrCat(*answer.request_limit)
                                        : "none"));
  }
  if (answer.leaving &&
      core_.fleet.OnLeaving(endpoint_id_, endpoint_process_, now())) {
    core_.router.OnLeaving(endpoint_id_);
    core_.crashes.OnFleetChange();
    common::LogEvent(
        common::EventId::kEndpointLeaving,
        common::StrCat("endpoint=", endpoint_id_, " why=announced"));
  }
  if (answer.rest.has_value()) {
    common::LogEvent(common::EventId::kEndpointRests,
                     common::StrCat("endpoint=", endpoint_process_, " rest_ms=",
                                    common::ToMilliseconds(*answer.rest),
                                    " request=", request_.attempt_id));
  }
}

void ProxiedRun::OnBody(std::string_view data) {
  last_received_at_ = now();
  if (streaming_) {
    RelayEvents(data);
    return;
  }
  if (!IsRelayed()) {
    DropBody(data.size());
    return;
  }
  const size_t size = buffered_body_.size() + data.size();
  if (size > MaxBodyBytes()) {
    EndOversized("answer_too_large");
    return;
  }
  const bool exceeds_sum =
      size > kSmallAnswerBytes &&
      core_.buffered_bytes + data.size() > kMaxBufferedBytes;
  if (exceeds_sum || !ReserveForAnswer(data.size())) {
    exchange_->Abandon();
    RetryOrFail("no_room_for_answer");
    return;
  }
  buffered_body_ += data;
  core_.buffered_bytes += data.size();
}

bool ProxiedRun::IsRelayed() const {
  const proxied::EndpointAnswer& answer = *answer_;
  const bool refused = answer.not_run && answer.status != http1::kBadRequest;
  const bool spoilt =
      answer.encoded || (IsSuccess(answer.status) && !answer.sealed);
  return !refused && !spoilt;
}

size_t ProxiedRun::MaxBodyBytes() const {
  return IsSuccess(answer_->status) ? kMaxAnswerBytes : kMaxErrorBytes;
}

void ProxiedRun::DropBody(size_t bytes) {
  dropped_bytes_ += bytes;
  if (dropped_bytes_ <= kMaxDroppedBytes) {
    return;
  }
  if (answer_->not_run) {
    LogBadResponse("refusal_too_large");
    exchange_->Abandon();
    OnRefusedByEndpoint("refusal_too_large");
  } else {
    EndOversized("answer_too_large");
  }
}

void ProxiedRun::LogBadResponse(std::string_view cause) const {
  common::LogEvent(common::EventId::kBadResponse,
                   common::StrCat("endpoint=", endpoint_process_, " request=",
                                  request_.attempt_id, " why=", cause));
}

void ProxiedRun::EndOversized(std::string_view cause) {
  LogBadResponse(cause);
  exchange_->Abandon();
  RetryOrFail(cause);
}

bool ProxiedRun::ReserveForAnswer(size_t more) {
  const size_t size = buffered_body_.size() + more;
  if (size <= buffered_body_.capacity()) {
    return true;
  }
  const size_t capacity = std::max(size, 2 * buffered_body_.capacity());
  if (!channel_.ReserveForAnswer(capacity)) {
    return false;
  }
  buffered_body_.reserve(capacity);
  return true;
}

void ProxiedRun::DropBufferedBody() {
  core_.buffered_bytes -= buffered_body_.size();
  buffered_body_ = {};
}

void ProxiedRun::RelayEvents(std::string_view data) {
  bool has_room = true;
  for (event_stream::Event& event : splitter_.Feed(data)) {
    ++attempt_events_;
    if (!attempt_first_event_.has_value()) {
      attempt_first_event_ = now() - attempt_started_at_;
      EndAdmissionWait(/*started=*/true);
    }
    if (resuming_ && !event.id.has_value() && !event.comment) {
      // The events of a stream are numbered. This is an error of the endpoint,
      // or cannot be placed.
      exchange_->Abandon();
      RetryOrFail("event_without_number");
      return;
    }
    if (event.comment) {
      bytes_without_event_ += event.text.size();
    }
    if (event.id.has_value() && last_event_id_.has_value()) {
      if (*event.id <= *last_event_id_) {
        bytes_without_event_ += event.text.size();
        continue;
      }
      if (*event.id != *last_event_id_ + 1) {
        exchange_->Abandon();
        RetryOrFail("event_missing");
        return;
      }
    }
    if (!stream_started_) {
      stream_started_ = true;
      first_event_after_ = now() - arrived_at_;
      core_.metrics.OnFirstEvent(first_event_after_);
      channel_.BeginStream(answer_->status, answer_->headers);
    }
    if (!event.comment) {
      bytes_without_event_ = 0;
    }
    if (event.id.has_value()) {
      last_event_id_ = event.id;
    }
    if (last_event_at_ != common::Time{}) {
      longest_pause_ = std::max(longest_pause_, now() - last_event_at_);
    }
    last_event_at_ = now();
    has_room = channel_.WriteStream(event.text) && has_room;
  }
  if (!CheckStreamLimits()) {
    return;
  }
  if (!has_room || channel_.unsent() > kMaxUnsentBytes) {
    exchange_->Abandon();
    EndAttempt("caller_not_reading");
    channel_.Break();
    End("caller_not_reading");
  }
}

bool ProxiedRun::CheckStreamLimits() {
  if (splitter_.partial_bytes() > kMaxEventBytes) {
    EndOversized("event_too_large");
    return false;
  }
  if (bytes_without_event_ > kMaxBytesWithoutEvent) {
    EndOversized("no_new_event");
    return false;
  }
  // In whole blocks, as the budget is not asked for each event.
  constexpr size_t kBlockBytes = 16 << 10;
  if (!channel_.ReserveForAnswer(splitter_.partial_bytes() / kBlockBytes *
                                 kBlockBytes)) {
    exchange_->Abandon();
    RetryOrFail("no_room_for_answer");
    return false;
  }
  return true;
}

void ProxiedRun::OnComplete() {
  if (streaming_) {
    OnStreamEnd();
  } else {
    OnBufferedAnswer();
  }
}

void ProxiedRun::OnStreamEnd() {
  if (splitter_.has_partial()) {
    RetryOrFail("event_cut");
    return;
  }
  // An endpoint that crashes may close its connections in order.
  if (attempt_events_ == 0 && answer_->until_close) {
    RetryOrFail("closed_before_an_event");
    return;
  }
  if (!stream_started_) {
    channel_.BeginStream(answer_->status, answer_->headers);
  }
  channel_.EndStream();
  EndAttempt("complete");
  End("complete");
}

void ProxiedRun::OnBufferedAnswer() {
  const proxied::EndpointAnswer& answer = *answer_;
  if (!IsRelayed()) {
    if (answer.not_run) {
      OnRefusedByEndpoint(answer.rest.has_value() ? "resting" : "busy");
    } else {
      RetryOrFail("answer_spoilt");
    }
    return;
  }
  const bool failed = answer.status >= http1::kInternalError;
  if (failed && !stream_started_ && serving::MayRepeat(*route_) && CanRetry() &&
      TryTakeRetry()) {
    EndAttempt(common::StrCat("status_", answer.status));
    Dispatch();
    return;
  }
  // The status would tell the caller that the request did not run, which the
  // endpoint has not confirmed.
  if (PromisesNotRun(answer.status) && !answer.not_run) {
    EndAttempt(common::StrCat("status_", answer.status));
    Fail("status_without_promise", kRetryWhenFull);
    return;
  }
  if (stream_started_) {
    EndAttempt(common::StrCat("status_", answer.status));
    Fail("stream_not_resumed", kRetryWhenFull);
    return;
  }
  const std::string outcome = common::StrCat("status_", answer.status);
  channel_.Respond(answer.status, answer.headers, buffered_body_);
  EndAttempt(IsSuccess(answer.status) ? "complete" : outcome);
  End(IsSuccess(answer.status) ? "complete" : outcome);
}

void ProxiedRun::OnRefusedByEndpoint(std::string_view result) {
  const bool misdirected = answer_->status == http1::kMisdirected;
  // A refusal that names another endpoint comes from a group that cannot run
  // steps without that endpoint, so its other ranks would refuse too.
  const bool group_stalled =
      !answer_->faulty_endpoint_address.empty() && !misdirected;
  if (misdirected) {
    core_.fleet.OnMisdirected(endpoint_id_);
    core_.router.OnLeaving(endpoint_id_);
  }
  EndAttempt(misdirected ? "misdirected" : result);
  if (group_stalled) {
    Fail("group_stalled", kRetryWhenGroupStalled);
    return;
  }
  if (!CanRetry()) {
    FailWithoutEndpoint();
    return;
  }
  if (TryTakeRetry()) {
    Dispatch();
    return;
  }
  Fail(misdirected ? "misdirected" : "endpoints_full", kRetryWhenFull);
}

void ProxiedRun::OnFailed(const http_channel::ExchangeFailure& failure) {
  if (failure.nothing_sent) {
    EndAttempt("unreachable");
    --attempts_;
    if (++connect_failures_ < kMaxConnectFailures) {
      Dispatch();
    } else {
      Fail("endpoints_unreachable", kRetryWhenFull);
    }
    return;
  }
  if (failure.bad_response) {
    LogBadResponse(failure.detail);
  }
  execution_ = Execution::kMayHaveRun;
  RetryOrFail(failure.detail);
}

void ProxiedRun::RetryOrFail(std::string_view cause) {
  execution_ = Execution::kMayHaveRun;
  EndAttempt(cause);
  if (serving::MayRepeat(*route_) && TryTakeRetry()) {
    if (stream_started_) {
      common::LogEvent(
          common::EventId::kStreamResumed,
          common::StrCat("request=", request_.attempt_id,
                         " after_event=", last_event_id_.value_or(0),
                         " attempts=", attempt_log_));
    }
    Dispatch();
    return;
  }
  Fail(cause, kRetryWhenFull);
}

bool ProxiedRun::TryTakeRetry() {
  if (attempts_ >= route_->max_attempts || now() + kAnswerMargin >= deadline_) {
    return false;
  }
  const bool granted = core_.retry_windows.at(service_).TryTake(
      core_.registry.ReserveShare(now()), now());
  core_.metrics.OnRetry(service_, granted ? "granted" : "denied");
  return granted;
}

void ProxiedRun::Fail(std::string_view cause, common::Duration retry_after) {
  if (stream_started_) {
    channel_.Break();
    End(cause);
    return;
  }
  if (execution_ == Execution::kNotRun) {
    Refuse(cause, retry_after);
  } else {
    RespondLocally(http1::kBadGateway, cause, std::nullopt);
  }
}

void ProxiedRun::SetDeadline(common::Time deadline) {
  deadline_ = deadline;
  core_.loop.Cancel(deadline_timer_);
  deadline_timer_ = core_.loop.RunAt(deadline_ - kAnswerMargin, [this] {
    deadline_timer_ = event_loop::kNoTimer;
    OnDeadline();
  });
}

void ProxiedRun::StopBy(common::Time time) {
  if (!ended_ && time < deadline_) {
    SetDeadline(time);
  }
}

void ProxiedRun::OnDeadline() {
  const bool was_sent = exchange_ != nullptr && exchange_->sent_any();
  if (exchange_ != nullptr) {
    exchange_->Abandon();
    EndAttempt("deadline");
  }
  if (stream_started_) {
    channel_.Break();
    End("deadline");
  } else if (was_sent || execution_ == Execution::kMayHaveRun) {
    RespondLocally(http1::kGatewayTimeout, "deadline", std::nullopt);
  } else {
    Refuse("deadline", kRetryWhenFull);
  }
}

void ProxiedRun::OnCallerGone() {
  if (ended_) {
    return;
  }
  if (exchange_ != nullptr) {
    exchange_->Abandon();
    EndAttempt("caller_gone");
  }
  End("caller_gone");
}

void ProxiedRun::EndAttempt(std::string_view result) {
  if (exchange_ == nullptr) {
    return;
  }
  exchange_ = nullptr;
  common::StrAppend(&attempt_log_, attempt_log_.empty() ? "" : ",",
                    endpoint_process_, ":", result);
  if (attempt_events_ > 0) {
    common::StrAppend(&attempt_log_, "+", attempt_events_);
  }
  core_.metrics.OnAttempt(endpoint_id_, result);
  ReportToRouter(result);
  ReportToQuarantine(result);
}

void ProxiedRun::ReportToRouter(std::string_view result) {
  const common::Time ended = now();
  if (result == "complete") {
    const common::Duration total = ended - attempt_started_at_;
    core_.router.OnSuccess(
        endpoint_id_,
        {.first_token = attempt_first_event_.value_or(total), .total = total},
        ended);
  } else if (result == "busy") {
    core_.router.OnBusy(endpoint_id_, ended);
  } else if (result.starts_with("status_")) {
    core_.router.OnErrorResponse(endpoint_id_, ended);
  } else if (result == "caller_gone" || result == "deadline" ||
             result == "caller_not_reading" || result == "no_room_for_answer" ||
             result == "misdirected" || result == "resting" ||
             result == "withdrawn") {
    core_.router.OnAbandoned(endpoint_id_, ended);
  } else {
    core_.router.OnFailure(endpoint_id_, ended);
  }
}

void ProxiedRun::ReportToQuarantine(std::string_view result) {
  const bool given_up = result == "caller_gone" || result == "deadline";
  const bool silent = now() - last_received_at_ >= kSilence;
  // The endpoint works, whatever is wrong with its answer. An error response is
  // no proof that the request ran.
  const bool endpoint_responds =
      result.starts_with("status_") || result == "busy" ||
      result == "misdirected" || result == "unreachable" ||
      result == "resting" || result == "withdrawn" ||
      result.starts_with("bad_response") || result == "refusal_too_large" ||
      result == "no_new_event" || result == "answer_spoilt" ||
      result == "answer_too_large" || result == "no_room_for_answer" ||
      result == "event_too_large" || result == "caller_not_reading" ||
      result == "event_missing" || result == "event_without_number";
  if (result == "complete") {
    core_.crashes.OnAnswered(content_attempt_);
  } else if (endpoint_responds || (given_up && !silent)) {
    core_.crashes.OnAbandoned(content_attempt_);
  } else {
    core_.crashes.OnUnanswered(content_attempt_, endpoint_process_);
  }
}

void ProxiedRun::Refuse(std::string_view cause, common::Duration retry_after) {
  RespondLocally(http1::kUnavailable, cause, Jittered(retry_after));
}

common::Duration ProxiedRun::Jittered(common::Duration mean) {
  // Spread over 0.5 to 1.5 times the mean, so that callers refused together do
  // not retry together.
  std::uniform_real_distribution<double> factor(0.5, 1.5);
  return std::chrono::duration_cast<common::Duration>(mean *
                                                      factor(core_.random));
}

void ProxiedRun::RespondLocally(int status,
                                std::string_view cause,
                                std::optional<common::Duration> retry_after) {
  channel_.Respond(status,
                   platform::LocalResponseHeaders(request_, retry_after), {});
  End(cause);
}

void ProxiedRun::End(std::string_view outcome) {
  if (ended_) {
    return;
  }
  ended_ = true;
  DropBufferedBody();
  EndAdmissionWait(/*started=*/false);
  core_.loop.Cancel(deadline_timer_);
  deadline_timer_ = event_loop::kNoTimer;
  const common::Duration took = now() - arrived_at_;
  if (stream_started_) {
    common::StrAppend(
        &log_details_,
        " first_event_ms=", common::ToMilliseconds(first_event_after_),
        " longest_pause_ms=", common::ToMilliseconds(longest_pause_));
  }
  if (foreign_answers_ > 0) {
    common::StrAppend(&log_details_, " foreign_answers=", foreign_answers_);
  }
  core_.metrics.OnAnswer(took);
  core_.metrics.OnRequest(route_ == nullptr ? "none" : route_->name, outcome);
  common::LogEvent(
      common::EventId::kRequestEnded,
      common::StrCat(
          "request=", request_.attempt_id,
          " route=", route_ == nullptr ? "none" : route_->name,
          " customer=", customer_.value_or("none"), " content=",
          content_.empty() ? "none" : content_, " parts=", PartsOf(request_),
          " outcome=", outcome, " took_ms=", common::ToMilliseconds(took),
          " attempts=", attempt_log_.empty() ? "none" : attempt_log_,
          " configuration=", routes_ == nullptr ? 0 : routes_->version(),
          " configuration_age_ms=",
          configuration_age_.has_value()
              ? common::ToMilliseconds(*configuration_age_)
              : -1,
          " loop_busy_ms=", common::ToMilliseconds(loop_busy_on_arrival_),
          log_details_));
  on_end_();
}

}  // namespace wagtailshore::gateway
