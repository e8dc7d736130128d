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

// One caller's request from its arrival to the end of its answer: finds its
// route and customer, sends it to an endpoint, again to another one where that
// is allowed, and passes the answer on.
//
// A refusal (503) is only given when no endpoint can have run the request; what
// is unknown ends with 502 or 504. An answer reaches the caller as complete
// only if the endpoint's was.
class ProxiedRun final : public http_channel::ExchangeListener {
 public:
  // `on_end` is called once, when the run needs neither channel any more.
  ProxiedRun(GatewayCore& core,
             http_channel::CallerChannel& channel,
             proxied::CallerRequest request,
             std::function<void()> on_end);
  ~ProxiedRun() override;
  ProxiedRun(const ProxiedRun&) = delete;
  ProxiedRun& operator=(const ProxiedRun&) = delete;

  void Start();
  // The caller went away; nothing is written to its channel any more.
  void OnCallerGone();

  http_channel::Ownership OnHead(const http1::ResponseHead& head) override;
  void OnBody(std::string_view data) override;
  void OnComplete() override;
  void OnFailed(const http_channel::ExchangeFailure& failure) override;

 private:
  // What may be said of the request if it ends now.
  enum class Fate { kNotRun, kMayHaveRun };

  // Finds route and customer; answers the caller itself and returns false when
  // the request cannot go on.
  bool Authorize();
  void Dispatch();
  void SendTo(const fleet::EndpointRecord& endpoint);
  // Whether the service can start the request in time, or takes it though it
  // cannot; answers the caller itself if not.
  bool PassesAdmission();
  // Requests whose first event can still be in time go first.
  int Urgency() const;
  // The first event of the request came, or will not come.
  void EndWaiting(bool started);
  // Ends the attempt in progress, then tries again or gives up.
  void RetryOrGiveUp(std::string_view cause);
  bool MayTryAgain();
  // Ends the request without an endpoint's answer. `retry_after` goes to the
  // caller if the request did not run.
  void GiveUp(std::string_view cause, common::Duration retry_after);
  void OnDeadline();

  void OnBufferedAnswer();
  void OnRefusedByEndpoint();
  void PassEvents(std::string_view data);
  void OnStreamEnd();

  void AnswerItself(int status,
                    std::string_view cause,
                    std::optional<common::Duration> retry_after);
  void Refuse(std::string_view cause, common::Duration retry_after);
  void End(std::string_view outcome);
  void EndAttempt(std::string_view result);
  common::Duration Jittered(common::Duration mean);
  common::Time now() const { return core_.loop.Now(); }

  GatewayCore& core_;
  http_channel::CallerChannel& channel_;
  proxied::CallerRequest request_;
  std::function<void()> on_end_;
  common::Time arrived_;
  // Keeps the configuration that the request was admitted under.
  std::shared_ptr<const serving::RouteTable> routes_;
  const serving::Route* route_ = nullptr;
  std::optional<std::string> customer_;
  std::string service_;
  // 0 is the most urgent, from the customer or else the route.
  int priority_ = 0;
  common::Time deadline_{};
  // The service's admission control waits for the first event.
  bool awaited_ = false;
  event_loop::TimerId deadline_timer_ = event_loop::kNoTimer;

  // The attempt in progress.
  http_channel::EndpointChannel* exchange_ = nullptr;
  std::string endpoint_id_;
  common::Time attempt_began_{};
  std::optional<common::Duration> attempt_first_;
  std::optional<proxied::EndpointAnswer> answer_;
  std::string buffered_;
  event_stream::Splitter splitter_;
  bool streaming_ = false;

  int attempts_ = 0;
  int connect_failures_ = 0;
  std::set<std::string> tried_;
  Fate fate_ = Fate::kNotRun;
  // The head of a streamed answer has gone to the caller.
  bool stream_begun_ = false;
  std::optional<uint64_t> last_event_;
  bool ended_ = false;
  // For the log: each attempt's endpoint and result, how old the configuration
  // was on arrival, and what else decided.
  std::string history_;
  std::optional<common::Duration> configuration_age_;
  std::string reasons_;
};

}  // namespace wagtailshore::gateway

#endif  // DAEMON_GATEWAY_PROXIED_RUN_H_
