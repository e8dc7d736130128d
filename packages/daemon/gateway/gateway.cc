#include "daemon/gateway/gateway.h"

#include <algorithm>
#include <set>
#include <utility>

#include "common/event_log.h"
#include "common/strings.h"
#include "protocol/http1/status.h"
#include "transport/machine/machine.h"

namespace wagtailshore::gateway {
namespace {

// The load balancer probes every second and stops sending new connections after
// two failed probes; another half second covers connections on their way.
constexpr common::Duration kBalancerDrainDelay = common::milliseconds(2500);
// Share of the time until the kill that this may take; the rest is for the
// requests in flight.
constexpr double kMaxBalancerDrainShare = 1.0 / 3;
// Requests that are still open get their final answer this long before the
// process would be killed, and it stops this long before.
constexpr common::Duration kAnswerMargin = common::milliseconds(300);
constexpr common::Duration kStopMargin = common::milliseconds(200);
constexpr common::Duration kIdleCheckPeriod = common::milliseconds(50);
// Retry-After while this process stops; short, as the caller reaches another
// gateway with its next connection.
constexpr common::Duration kRetryWhenStopping = common::milliseconds(50);
// Retry-After when the memory for clients is exhausted: stalled clients are
// evicted after a second.
constexpr common::Duration kMinRetryWhenNoRoom = common::milliseconds(500);
constexpr common::Duration kMaxRetryWhenNoRoom = common::milliseconds(1500);
// The gateway is not ready when its configuration was last confirmed longer ago
// than this: other gateways then serve callers better. Requests with keys are
// refused a little later.
constexpr common::Duration kMaxAgeWhenReady = common::milliseconds(4000);
// Time between reads of the endpoint list, as a share of the bound within which
// a draining endpoint must be known; the rest is for the read itself.
constexpr double kListPeriodShare = 0.8;

common::Duration EndpointsPeriod(const serving::HostedSettings& settings) {
  return std::chrono::duration_cast<common::Duration>(settings.drain_bound *
                                                      kListPeriodShare);
}

// About a tenth of the latency that callers expect, so that an unreachable
// endpoint is detected early enough to try another one.
constexpr common::Duration kConnectTimeout = common::milliseconds(250);
// Predicted wait added to endpoints in other failure domains: a few round
// trips.
constexpr double kOtherDomainPenaltyMs = 5;

routing::RouterOptions RouterOptionsOf(
    const serving::HostedSettings& settings) {
  return {.failure_domain = settings.failure_domain,
          .seed = std::random_device{}(),
          // Compares all endpoints: there are few, and load reports are recent.
          .choices = 1024,
          // Negative limits: endpoints of all failure domains are candidates at
          // all times, with a preference for the own domain.
          .spill_above_ms = -1,
          .spill_below_ms = -1,
          .other_domain_penalty_ms = kOtherDomainPenaltyMs};
}

}  // namespace

class Gateway::MonitoringServer final : public http_channel::RequestHandler {
 public:
  explicit MonitoringServer(Gateway& gateway)
      : gateway_(gateway), server_(gateway.loop_, *this, gateway.limiter_) {}

  absl::Status Listen(const std::string& address) {
    return server_.Listen(address);
  }

  void OnRequest(http_channel::CallerChannel& channel,
                 const http1::RequestHead& head,
                 std::string) override {
    if (platform::IsReadinessProbe(head)) {
      channel.Respond(gateway_.IsReady() ? http1::kOk : http1::kUnavailable, {},
                      {});
    } else if (head.target == "/metrics") {
      channel.Respond(http1::kOk, {}, gateway_.Metrics());
    } else {
      channel.Respond(http1::kNotFound, {}, {});
    }
  }
  void OnCallerGone(http_channel::CallerChannel&) override {}

 private:
  Gateway& gateway_;
  http_channel::ChannelServer server_;
};

Gateway::Gateway(event_loop::EventLoop& loop, serving::HostedSettings settings)
    : loop_(loop),
      settings_(std::move(settings)),
      budget_(client_budget::OptionsFor(
          machine::LimitsWithin(settings_.memory_bytes,
                                settings_.max_sockets))),
      limiter_(loop, budget_),
      refusal_delay_(kMinRetryWhenNoRoom, kMaxRetryWhenNoRoom),
      endpoint_pool_(
          loop,
          {.connect_timeout = kConnectTimeout, .activity = "endpoint"},
          budget_.max_clients),
      call_pool_(loop,
                 {.connect_timeout = kConnectTimeout, .activity = "call"}),
      caller_(loop,
              call_pool_,
              {.max_held_bytes = client_budget::CallBytes(
                   machine::LimitsWithin(settings_.memory_bytes,
                                         settings_.max_sockets))}),
      freshness_({.revocation_bound = settings_.revocation_bound}),
      fleet_({}),
      router_(RouterOptionsOf(settings_)),
      store_revisions_({}),
      registry_(loop,
                caller_,
                {.store_address = settings_.store_address,
                 .name = settings_.name,
                 .share = {.reserve = settings_.retry_allowance,
                           .window = settings_.retry_window}},
                store_era_,
                store_revisions_),
      crash_watch_(loop,
                   caller_,
                   {.store_address = settings_.store_address,
                    .endpoint_heartbeat = settings_.endpoint_heartbeat,
                    .endpoints_period = EndpointsPeriod(settings_),
                    .probe_timeout = kConnectTimeout},
                   store_era_,
                   store_revisions_,
                   fleet_),
      store_watch_(
          loop,
          caller_,
          {.store_address = settings_.store_address,
           .endpoints_period = EndpointsPeriod(settings_)},
          store_era_,
          store_revisions_,
          freshness_,
          fleet_,
          [this](const fleet::FleetChange& change) { OnFleetChange(change); },
          [this] { crash_watch_.OnStoreBack(); },
          [this] { crash_watch_.OnRevisionShown(); }),
      slow_watch_(loop,
                  caller_,
                  {.failure_domain = settings_.failure_domain,
                   .peer_port = settings_.peer_port},
                  fleet_,
                  store_watch_,
                  router_),
      core_{.loop = loop_,
            .settings = settings_,
            .pool = endpoint_pool_,
            .router = router_,
            .fleet = fleet_,
            .freshness = freshness_,
            .store = store_watch_,
            .crashes = crash_watch_,
            .registry = registry_,
            .metrics = metrics_,
            .random = std::minstd_rand(std::random_device{}())},
      monitoring_server_(std::make_unique<MonitoringServer>(*this)),
      callers_(loop, *this, limiter_, [this] { return CallerOptions(); }) {
  store_era_.OnRestored([this] { store_revisions_.OnStoreRestored(); });
}

Gateway::~Gateway() = default;

absl::Status Gateway::Start(const std::string& metrics_address) {
  for (const std::string& address :
       {settings_.ready_address, metrics_address}) {
    if (address.empty()) {
      continue;
    }
    absl::Status listening = monitoring_server_->Listen(address);
    if (!listening.ok()) {
      return listening;
    }
  }
  absl::Status listening = callers_.Listen(settings_.caller_address);
  if (!listening.ok()) {
    return listening;
  }
  store_watch_.Start();
  registry_.Start();
  crash_watch_.Start();
  slow_watch_.Start();
  return absl::OkStatus();
}

http_channel::CallerChannelOptions Gateway::CallerOptions() {
  const auto& routes = store_watch_.routes();
  if (routes == nullptr) {
    return {};
  }
  const serving::CallerLimits& limits = routes->configuration().limits;
  CheckMaxBody(limits.max_body_bytes);
  return {.max_header_bytes = limits.max_header_bytes,
          .max_body_bytes = limits.max_body_bytes,
          .header_timeout = limits.header_timeout,
          .idle_timeout = limits.idle_timeout};
}

void Gateway::CheckMaxBody(uint64_t max_body_bytes) {
  if (max_body_bytes == checked_body_bytes_) {
    return;
  }
  checked_body_bytes_ = max_body_bytes;
  if (!client_budget::FitsAlone(budget_, max_body_bytes)) {
    common::LogEvent(common::EventId::kMemoryTooSmall,
                     common::StrCat("max_body_bytes=", max_body_bytes,
                                    " client_bytes=", budget_.memory_bytes));
  }
}

void Gateway::OnRequest(http_channel::CallerChannel& channel,
                        const http1::RequestHead& head,
                        std::string body) {
  if (closing_) {
    channel.CloseWhenIdle();
    const proxied::CallerRequest request =
        platform::DecodeCallerRequest(head, std::move(body));
    channel.Respond(http1::kUnavailable,
                    platform::LocalResponseHeaders(request, kRetryWhenStopping),
                    {});
    return;
  }
  auto run = std::make_unique<ProxiedRun>(
      core_, channel, platform::DecodeCallerRequest(head, std::move(body)),
      [this, &channel] { EndRun(channel); });
  ProxiedRun& started = *run;
  runs_[&channel] = std::move(run);
  started.Start();
}

http1::Headers Gateway::RefusalHeaders(const http1::RequestHead* head) {
  const proxied::CallerRequest request =
      head == nullptr ? proxied::CallerRequest{}
                      : platform::DecodeCallerRequest(*head, {});
  return platform::LocalResponseHeaders(request, refusal_delay_.Next());
}

void Gateway::EndRun(http_channel::CallerChannel& channel) {
  const auto found = runs_.find(&channel);
  if (found == runs_.end()) {
    return;
  }
  // The run itself calls this function, so it is destroyed after the call.
  loop_.Post(
      [ended = std::shared_ptr<ProxiedRun>(std::move(found->second))] {});
  runs_.erase(found);
}

void Gateway::OnCallerGone(http_channel::CallerChannel& channel) {
  const auto found = runs_.find(&channel);
  if (found != runs_.end()) {
    found->second->OnCallerGone();
  }
}

void Gateway::OnFleetChange(const fleet::FleetChange& change) {
  std::set<std::string> known;
  for (const auto& [id, endpoint] : fleet_.endpoints()) {
    known.insert(id);
    router_.Upsert(id, endpoint.failure_domain, endpoint.service);
  }
  router_.KeepOnly(known);
  crash_watch_.OnFleetChange();
  for (const std::string& id : change.started) {
    router_.OnRestarted(id);
    const fleet::EndpointRecord* endpoint = fleet_.Find(id);
    core_.backpressure.OnListed(id, fleet::ProcessName(*endpoint));
    common::LogEvent(
        common::EventId::kEndpointListed,
        common::StrCat("endpoint=", id, " address=", endpoint->address,
                       " service=", endpoint->service));
  }
  for (const std::string& id : change.draining) {
    router_.OnLeaving(id);
    common::LogEvent(common::EventId::kEndpointLeaving,
                     common::StrCat("endpoint=", id, " why=draining"));
  }
  for (const std::string& id : change.gone) {
    core_.backpressure.OnUnlisted(id);
    common::LogEvent(common::EventId::kEndpointLeaving,
                     common::StrCat("endpoint=", id, " why=unlisted"));
  }
}

bool Gateway::IsReady() const {
  const auto age = freshness_.Age(loop_.Now());
  return !draining_ && store_watch_.routes() != nullptr && fleet_.has_list() &&
         age.has_value() && *age < kMaxAgeWhenReady;
}

std::string Gateway::Metrics() {
  metrics_.SetGauge("wagtailshore_gateway_store_calls",
                    static_cast<double>(store_watch_.calls()));
  const auto& routes = store_watch_.routes();
  metrics_.SetGauge(
      "wagtailshore_gateway_configuration_malformed_fields",
      routes == nullptr
          ? 0
          : static_cast<double>(routes->configuration().findings.size()));
  metrics_.SetGauge("wagtailshore_gateway_configuration_refused",
                    store_watch_.newest_refused() ? 1 : 0);
  metrics_.SetGauge("wagtailshore_gateway_endpoint_connections_opened",
                    static_cast<double>(endpoint_pool_.opened()));
  metrics_.SetGauge("wagtailshore_gateway_requests_in_flight",
                    static_cast<double>(runs_.size()));
  metrics_.SetGauge("wagtailshore_gateway_caller_connections",
                    static_cast<double>(callers_.size()));
  metrics_.SetGauge("wagtailshore_gateway_client_bytes",
                    static_cast<double>(limiter_.held_bytes()));
  metrics_.SetGauge("wagtailshore_gateway_clients_refused",
                    static_cast<double>(limiter_.refused()));
  metrics_.SetGauge("wagtailshore_gateway_clients_evicted",
                    static_cast<double>(limiter_.evicted()));
  metrics_.SetGauge("wagtailshore_gateway_retry_reserve_share",
                    registry_.ReserveShare(loop_.Now()));
  metrics_.SetGauge("wagtailshore_gateway_limited_endpoints",
                    static_cast<double>(core_.backpressure.limited()));
  metrics_.SetGauge("wagtailshore_gateway_resting_endpoints",
                    static_cast<double>(core_.backpressure.resting()));
  metrics_.SetGauge("wagtailshore_gateway_suspect_contents",
                    static_cast<double>(crash_watch_.suspects()));
  metrics_.SetGauge("wagtailshore_gateway_shared_crashes",
                    static_cast<double>(crash_watch_.shared_crashes()));
  return metrics_.Format();
}

void Gateway::Drain() {
  if (draining_) {
    return;
  }
  draining_ = true;
  const common::Time killed_at = loop_.Now() + settings_.stop_grace;
  core_.stops_at = killed_at - kAnswerMargin;
  for (const auto& [channel, run] : runs_) {
    run->StopBy(*core_.stops_at);
  }
  const auto balancer_delay = std::min(
      kBalancerDrainDelay, std::chrono::duration_cast<common::Duration>(
                               settings_.stop_grace * kMaxBalancerDrainShare));
  loop_.RunAfter(balancer_delay, [this, latest = killed_at - kStopMargin] {
    closing_ = true;
    // Connections that were not accepted yet are reset, which shows their
    // callers that no request was read.
    callers_.StopListening();
    callers_.CloseWhenIdle();
    StopWhenIdle(latest);
  });
}

void Gateway::StopWhenIdle(common::Time latest) {
  if ((runs_.empty() && callers_.size() == 0) || loop_.Now() >= latest) {
    loop_.Stop();
    return;
  }
  loop_.RunAfter(kIdleCheckPeriod, [this, latest] { StopWhenIdle(latest); });
}

}  // namespace wagtailshore::gateway
