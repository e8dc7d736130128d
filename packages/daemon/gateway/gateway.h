#ifndef DAEMON_GATEWAY_GATEWAY_H_
#define DAEMON_GATEWAY_GATEWAY_H_

#include <map>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "common/random_delay.h"
#include "daemon/gateway/crash_watch.h"
#include "daemon/gateway/gateway_core.h"
#include "daemon/gateway/proxied_run.h"
#include "daemon/gateway/slow_watch.h"
#include "transport/http_channel/channel_server.h"

namespace wagtailshore::gateway {

// The gateway of a hosted deployment: accepts callers' requests on one event
// loop and proxies them directly to endpoints. Reads the configuration and the
// list of endpoints from the platform's store.
class Gateway final : public http_channel::RequestHandler {
 public:
  Gateway(event_loop::EventLoop& loop, serving::HostedSettings settings);
  ~Gateway() override;

  // Listens on the addresses of the settings and on `metrics_address`, each of
  // which may be empty except the callers' one; fails when one cannot be bound.
  absl::Status Start(const std::string& metrics_address);
  // The port for callers; only after Start().
  uint16_t caller_port() const { return callers_.port(); }
  // Whether the load balancer may send callers here: the configuration is known
  // and recent, the endpoint list is known, and the process is not draining.
  bool IsReady() const;
  // All series in the text exposition format.
  std::string Metrics();
  // Fails the readiness probe, finishes requests in flight, then stops the
  // loop.
  void Drain();

  void OnRequest(http_channel::CallerChannel& channel,
                 const http1::RequestHead& head,
                 std::string body) override;
  void OnCallerGone(http_channel::CallerChannel& channel) override;
  http1::Headers RefusalHeaders(const http1::RequestHead* head) override;

 private:
  // Serves the load balancer's readiness probe and the metrics.
  class MonitoringServer;

  // Limits on callers' requests, from the configuration in force.
  http_channel::CallerChannelOptions CallerOptions();
  // Logs if a body of the largest size does not fit the memory for clients.
  void CheckMaxBody(uint64_t max_body_bytes);
  void OnFleetChange(const fleet::FleetChange& change);
  void EndRun(http_channel::CallerChannel& channel);
  // Stops the loop when no request and no caller's connection is left, or at
  // `latest`.
  void StopWhenIdle(common::Time latest);

  event_loop::EventLoop& loop_;
  serving::HostedSettings settings_;
  client_budget::BudgetOptions budget_;
  http_channel::ChannelLimiter limiter_;
  // Retry-After of requests that the limiter has no room for.
  common::RandomDelay refusal_delay_;
  http_channel::EndpointPool endpoint_pool_;
  // Connections to the store and the companions.
  http_channel::EndpointPool call_pool_;
  http_channel::HttpCaller caller_;
  freshness::Freshness freshness_;
  fleet::Fleet fleet_;
  routing::Router router_;
  metrics::GatewayMetrics metrics_;
  store_era::StoreEra store_era_;
  store_revisions::StoreRevisions store_revisions_;
  GatewayRegistry registry_;
  CrashWatch crash_watch_;
  StoreWatch store_watch_;
  SlowWatch slow_watch_;
  GatewayCore core_;
  std::unique_ptr<MonitoringServer> monitoring_server_;
  http_channel::ChannelServer callers_;
  std::map<http_channel::CallerChannel*, std::unique_ptr<ProxiedRun>> runs_;
  // The largest size of a body that CheckMaxBody() has checked.
  uint64_t checked_body_bytes_ = 0;
  bool draining_ = false;
  // Set when draining has reached the point at which new requests are refused
  // and callers' connections are closed after their answers.
  bool closing_ = false;
};

}  // namespace wagtailshore::gateway

#endif  // DAEMON_GATEWAY_GATEWAY_H_
