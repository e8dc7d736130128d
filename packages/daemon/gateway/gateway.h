#ifndef DAEMON_GATEWAY_GATEWAY_H_
#define DAEMON_GATEWAY_GATEWAY_H_

#include <map>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "daemon/gateway/gateway_core.h"
#include "daemon/gateway/proxied_run.h"
#include "daemon/gateway/slow_watch.h"
#include "transport/http_channel/channel_server.h"

namespace wagtailshore::gateway {

// The entry of a hosted deployment: takes callers' requests on one event loop
// and sends them straight to endpoints. Learns everything else from the
// platform's store.
class Gateway final : public http_channel::RequestHandler {
 public:
  Gateway(event_loop::EventLoop& loop, serving::HostedSettings settings);
  ~Gateway() override;

  // Opens the addresses; fails when one cannot be bound.
  absl::Status Start(const std::string& metrics_address);
  // The port for callers; only after Start().
  uint16_t caller_port() const { return callers_.port(); }
  // Whether the balancer may send callers here.
  bool IsReady() const;
  // Refuses readiness, lets what is in flight end, then stops the loop.
  void Drain();

  void OnRequest(http_channel::CallerChannel& channel,
                 const http1::RequestHead& head,
                 std::string body) override;
  void OnCallerGone(http_channel::CallerChannel& channel) override;

 private:
  // Answers the balancer's probes and scrapes of the metrics.
  class SideServer;

  // What callers may send, by the configuration in force.
  http_channel::CallerChannelOptions CallerOptions() const;
  void OnFleet(const fleet::FleetChange& change);
  void EndRun(http_channel::CallerChannel& channel);
  std::string Metrics();
  void StopWhenIdle(common::Time latest);

  event_loop::EventLoop& loop_;
  serving::HostedSettings settings_;
  http_channel::EndpointPool endpoint_pool_;
  // For the store and the companions.
  http_channel::EndpointPool call_pool_;
  http_channel::HttpCaller caller_;
  freshness::Freshness freshness_;
  fleet::Fleet fleet_;
  routing::Router router_;
  metrics::GatewayMetrics metrics_;
  StoreWatch store_;
  SlowWatch slow_;
  GatewayCore core_;
  std::unique_ptr<SideServer> side_server_;
  http_channel::ChannelServer callers_;
  std::map<http_channel::CallerChannel*, std::unique_ptr<ProxiedRun>> runs_;
  bool draining_ = false;
  // Callers' connections are closed after their answers.
  bool closing_ = false;
};

}  // namespace wagtailshore::gateway

#endif  // DAEMON_GATEWAY_GATEWAY_H_
