#include "daemon/gateway/gateway.h"

#include <set>
#include <utility>

#include "common/event_log.h"
#include "common/strings.h"
#include "protocol/http1/status.h"

namespace wagtailshore::gateway {
namespace {

// The balancer asks every second and stops sending new connections after two
// refusals; half a second more for the last ones under way.
constexpr common::Duration kBalancerNotice = common::milliseconds(2500);
// The process leaves this long before it would be killed.
constexpr common::Duration kStopMargin = common::milliseconds(300);
constexpr common::Duration kIdleCheckPeriod = common::milliseconds(50);
// A caller that this process turns away while it stops finds another one as
// soon as it asks.
constexpr common::Duration kRetryElsewhere = common::milliseconds(50);
// Without word of the store for this long, other gateways serve callers
// better. Requests with keys are refused a little later.
constexpr common::Duration kReadyAge = common::milliseconds(4000);
// Part of the time within which a draining endpoint must be known that passes
// between two readings of the list; the rest is for the reading itself.
constexpr double kListShare = 0.8;

// An unreachable endpoint is noticed within about a tenth of the latency that
// callers expect.
constexpr common::Duration kConnectTimeout = common::milliseconds(250);
// A price in waiting time for crossing failure domains; a few round trips.
constexpr double kOtherDomainPenaltyMs = 5;

routing::RouterOptions RouterOptionsOf(
    const serving::HostedSettings& settings) {
  return {.failure_domain = settings.failure_domain,
          .seed = std::random_device{}(),
          // All endpoints are compared: there are few, and reports are fresh.
          .choices = 1024,
          // All failure domains serve together, the own one first.
          .spill_above_ms = -1,
          .spill_below_ms = -1,
          .other_domain_penalty_ms = kOtherDomainPenaltyMs};
}

}  // namespace

class Gateway::SideServer final : public http_channel::RequestHandler {
 public:
  explicit SideServer(Gateway& gateway)
      : gateway_(gateway), server_(gateway.loop_, *this) {}

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
      endpoint_pool_(loop, {.connect_timeout = kConnectTimeout}),
      call_pool_(loop, {.connect_timeout = kConnectTimeout}),
      caller_(loop, call_pool_),
      freshness_({.revocation_bound = settings_.revocation_bound}),
      fleet_({}),
      router_(RouterOptionsOf(settings_)),
      store_(loop,
             caller_,
             {.store_address = settings_.store_address,
              .endpoints_period = std::chrono::duration_cast<common::Duration>(
                  settings_.drain_bound * kListShare)},
             freshness_,
             fleet_,
             [this](const fleet::FleetChange& change) { OnFleet(change); }),
      slow_(loop,
            caller_,
            {.failure_domain = settings_.failure_domain,
             .peer_port = settings_.peer_port},
            fleet_,
            store_,
            router_),
      core_{.loop = loop_,
            .settings = settings_,
            .pool = endpoint_pool_,
            .router = router_,
            .fleet = fleet_,
            .freshness = freshness_,
            .store = store_,
            .metrics = metrics_,
            .random = std::minstd_rand(std::random_device{}())},
      side_server_(std::make_unique<SideServer>(*this)),
      callers_(loop, *this, [this] { return CallerOptions(); }) {}

Gateway::~Gateway() = default;

absl::Status Gateway::Start(const std::string& metrics_address) {
  for (const std::string& address :
       {settings_.ready_address, metrics_address}) {
    if (address.empty()) {
      continue;
    }
    absl::Status listening = side_server_->Listen(address);
    if (!listening.ok()) {
      return listening;
    }
  }
  absl::Status listening = callers_.Listen(settings_.caller_address);
  if (!listening.ok()) {
    return listening;
  }
  store_.Start();
  slow_.Start();
  return absl::OkStatus();
}

http_channel::CallerChannelOptions Gateway::CallerOptions() const {
  const auto& routes = store_.routes();
  if (routes == nullptr) {
    return {};
  }
  const serving::CallerLimits& limits = routes->configuration().limits;
  return {.max_header_bytes = limits.max_header_bytes,
          .max_body_bytes = limits.max_body_bytes,
          .header_timeout = limits.header_timeout,
          .idle_timeout = limits.idle_timeout};
}

void Gateway::OnRequest(http_channel::CallerChannel& channel,
                        const http1::RequestHead& head,
                        std::string body) {
  if (closing_) {
    channel.CloseWhenIdle();
    const proxied::CallerRequest request =
        platform::DecodeCallerRequest(head, std::move(body));
    channel.Respond(http1::kUnavailable,
                    platform::OwnAnswerHeaders(request, kRetryElsewhere), {});
    return;
  }
  auto run = std::make_unique<ProxiedRun>(
      core_, channel, platform::DecodeCallerRequest(head, std::move(body)),
      [this, &channel] { EndRun(channel); });
  ProxiedRun& started = *run;
  runs_[&channel] = std::move(run);
  started.Start();
}

void Gateway::EndRun(http_channel::CallerChannel& channel) {
  const auto found = runs_.find(&channel);
  if (found == runs_.end()) {
    return;
  }
  // The run is calling; it must outlive the call.
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

void Gateway::OnFleet(const fleet::FleetChange& change) {
  std::set<std::string> known;
  for (const auto& [id, endpoint] : fleet_.endpoints()) {
    known.insert(id);
    router_.Upsert(id, endpoint.failure_domain, endpoint.service);
  }
  router_.KeepOnly(known);
  for (const std::string& id : change.started) {
    router_.OnRestarted(id);
    const fleet::EndpointRecord* endpoint = fleet_.Find(id);
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
    common::LogEvent(common::EventId::kEndpointLeaving,
                     common::StrCat("endpoint=", id, " why=unlisted"));
  }
}

bool Gateway::IsReady() const {
  const auto age = freshness_.Age(loop_.Now());
  return !draining_ && store_.routes() != nullptr && fleet_.has_list() &&
         age.has_value() && *age < kReadyAge;
}

std::string Gateway::Metrics() {
  metrics_.SetGauge("wagtailshore_gateway_store_calls",
                    static_cast<double>(store_.calls()));
  metrics_.SetGauge("wagtailshore_gateway_endpoint_connections_opened",
                    static_cast<double>(endpoint_pool_.opened()));
  metrics_.SetGauge("wagtailshore_gateway_requests_in_flight",
                    static_cast<double>(runs_.size()));
  metrics_.SetGauge("wagtailshore_gateway_caller_connections",
                    static_cast<double>(callers_.size()));
  return metrics_.Format();
}

void Gateway::Drain() {
  if (draining_) {
    return;
  }
  draining_ = true;
  const common::Time latest = loop_.Now() + settings_.stop_grace - kStopMargin;
  loop_.RunAfter(kBalancerNotice, [this, latest] {
    closing_ = true;
    // Connections that were not accepted are reset, which tells their callers
    // that nothing was read.
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
