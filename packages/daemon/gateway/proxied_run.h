#ifndef DAEMON_GATEWAY_PROXIED_RUN_H_
#define DAEMON_GATEWAY_PROXIED_RUN_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "daemon/gateway/gateway_core.h"
#include "platform/requests.h"
#include "protocol/event_stream/event_stream.h"
#include "protocol/proxied/proxied.h"
#include "transport/http_channel/caller_channel.h"
#include "transport/http_channel/endpoint_channel.h"

namespace wagtailshore::gateway {

// Handles one caller's request from its arrival to the end of its answer: finds
// its route and customer, forwards it to an endpoint, retries on another one
// where the route allows that, and relays the answer.
//
// The caller gets 503 only when no endpoint can have run the request, and 502
// or 504 when one may have run it. A relayed answer is complete only if the
// endpoint's answer was complete.
class ProxiedRun final : public http_channel::ExchangeListener {
 public:
  // `on_end` is called once, when the run no longer uses the caller's or an
  // endpoint's channel.
  ProxiedRun(GatewayCore& core,
             http_channel::CallerChannel& channel,
             proxied::CallerRequest request,
             std::function<void()> on_end);
  ~ProxiedRun() override;
  ProxiedRun(const ProxiedRun&) = delete;
  ProxiedRun& operator=(const ProxiedRun&) = delete;

  void Start();
  // Moves the request's deadline forward to `time`, at which this process
  // stops.
  void StopBy(common::Time time);
  // The caller has disconnected; nothing more is written to its channel.
  void OnCallerGone();

  bool OnReadyToSend() override;
  http_channel::ResponseOrigin OnHead(const http1::ResponseHead& head) override;
  void OnBody(std::string_view data) override;
  void OnComplete() override;
  void OnFailed(const http_channel::ExchangeFailure& failure) override;

 private:
  // Whether an endpoint may have run the request.
  enum class Execution { kNotRun, kMayHaveRun };

  // Finds the route and the customer. Answers the caller and returns false when
  // the request is refused.
  bool Authorize();
  void Dispatch();
  // Picks an endpoint for an attempt within the quarantine's rules and counts
  // the attempt in the router.
  std::optional<std::string> PickEndpoint(const quarantine::MayRun& rules);
  // Endpoints that must not get the request: it was sent to them before, or
  // they want none for now.
  std::set<std::string> UnusableEndpoints() const;
  // Fails the request because PickEndpoint() found none.
  void FailWithoutEndpoint();
  // Whether another endpoint could get the request now.
  bool CanRetry() const;
  // Time until one of the service's endpoints that the request was not sent to
  // wants requests again; nullopt if there is none or it is not known.
  std::optional<common::Duration> TimeUntilEndpoint() const;
  void SendTo(const fleet::EndpointRecord& endpoint);
  // Applies the service's admission control to streams with a latency
  // objective. Answers the caller and returns false when the request is
  // refused.
  bool PassesAdmission();
  // Priority that the endpoint gets with the request; 0 is the most urgent.
  // Requests whose first event can still be in time come first.
  int Urgency() const;
  // Reports to admission control that the first event arrived (`started`) or
  // will not arrive.
  void EndAdmissionWait(bool started);
  // Ends the attempt in progress, then retries the request or fails it.
  void RetryOrFail(std::string_view cause);
  // Whether the route's attempts, the deadline and the service's retry budget
  // allow another attempt; takes it from the budget if so.
  bool TryTakeRetry();
  // Ends the request without an endpoint's answer. `retry_after` is sent to the
  // caller if the request did not run.
  void Fail(std::string_view cause, common::Duration retry_after);
  void SetDeadline(common::Time deadline);
  void OnDeadline();

  // Whether the answer belongs to this request. A faulty endpoint may write
  // that to an earlier one once more on a reused connection.
  bool IsOwnAnswer(const proxied::EndpointAnswer& answer) const;
  // Takes over what the endpoint asks for in its answer.
  void NoteDemands(const proxied::EndpointAnswer& answer);
  void OnBufferedAnswer();
  // Whether the answer is relayed if it is complete. Others are read to their
  // end, so that the connection can be reused, and their bodies dropped.
  bool IsRelayed() const;
  // Largest body of the answer, in bytes.
  size_t MaxBodyBytes() const;
  // Drops the body of an answer that is not relayed.
  void DropBody(size_t bytes);
  // Makes room for `more` bytes of an answer that is buffered.
  bool ReserveForAnswer(size_t more);
  void LogBadResponse(std::string_view cause) const;
  // Ends the attempt because the endpoint sends more than a limit allows.
  void EndOversized(std::string_view cause);
  void DropBufferedBody();
  // Ends the attempt, which the endpoint has refused, as `result`.
  void OnRefusedByEndpoint(std::string_view result);
  void RelayEvents(std::string_view data);
  // Checks what a stream sends without making progress. Ends the attempt and
  // returns false beyond a limit.
  bool CheckStreamLimits();
  void OnStreamEnd();

  // Sends the caller a response made by the gateway and ends the run.
  void RespondLocally(int status,
                      std::string_view cause,
                      std::optional<common::Duration> retry_after);
  // Answers 503 with a jittered `retry_after`.
  void Refuse(std::string_view cause, common::Duration retry_after);
  // Ends the run: metrics, the log line with `outcome`, then `on_end`.
  void End(std::string_view outcome);
  // Ends the attempt in progress and reports `result` to the router and to the
  // quarantine.
  void EndAttempt(std::string_view result);
  void ReportToRouter(std::string_view result);
  void ReportToQuarantine(std::string_view result);
  common::Duration Jittered(common::Duration mean);
  common::Time now() const { return core_.loop.Now(); }

  GatewayCore& core_;
  http_channel::CallerChannel& channel_;
  proxied::CallerRequest request_;
  std::function<void()> on_end_;
  common::Time arrived_at_;
  // Bounds how long the request waited to be read.
  common::Duration loop_busy_on_arrival_;
  // The configuration in force on arrival, used until the request ends.
  std::shared_ptr<const serving::RouteTable> routes_;
  const serving::Route* route_ = nullptr;
  std::optional<std::string> customer_;
  std::string service_;
  // Digest of what the request asks for.
  std::string content_;
  quarantine::Factors factors_;
  // From the customer, or else from the route; 0 is the most urgent.
  int priority_ = 0;
  common::Time deadline_{};
  // Whether the service's admission control waits for the first event.
  bool awaiting_first_event_ = false;
  event_loop::TimerId deadline_timer_ = event_loop::kNoTimer;

  // The attempt in progress.
  http_channel::EndpointChannel* exchange_ = nullptr;
  std::string endpoint_id_;
  // Distinguishes the endpoint from an earlier or later process with its id.
  std::string endpoint_process_;
  bool connection_reused_ = false;
  common::Time attempt_started_at_{};
  // When the endpoint last sent something for the attempt.
  common::Time last_received_at_{};
  // Its number in the quarantine.
  uint64_t content_attempt_ = 0;
  // Time to the attempt's first event.
  std::optional<common::Duration> attempt_first_event_;
  // Number of the attempt's events.
  uint32_t attempt_events_ = 0;
  std::optional<proxied::EndpointAnswer> answer_;
  std::string buffered_body_;
  // Bytes of the answer's body that were dropped.
  size_t dropped_bytes_ = 0;
  // Bytes of a stream since its last new event: comments, and events that the
  // caller has already.
  size_t bytes_without_event_ = 0;
  event_stream::Splitter splitter_;
  bool streaming_ = false;
  // Whether the attempt is to go on after the last event that the caller has.
  bool resuming_ = false;

  int attempts_ = 0;
  int connect_failures_ = 0;
  std::set<std::string> tried_endpoints_;
  Execution execution_ = Execution::kNotRun;
  // The head of a streamed answer has been sent to the caller.
  bool stream_started_ = false;
  // Id of the last event sent to the caller.
  std::optional<uint64_t> last_event_id_;
  // When the last event was sent to the caller, the time from arrival to the
  // first one, and the longest pause between two.
  common::Time last_event_at_{};
  common::Duration first_event_after_{};
  common::Duration longest_pause_{};
  bool ended_ = false;
  // Answers of earlier exchanges that were dropped.
  int foreign_answers_ = 0;
  // For the log: each attempt's endpoint and result, the age of the
  // configuration on arrival, and further fields.
  std::string attempt_log_;
  std::optional<common::Duration> configuration_age_;
  std::string log_details_;
};

}  // namespace wagtailshore::gateway

#endif  // DAEMON_GATEWAY_PROXIED_RUN_H_
