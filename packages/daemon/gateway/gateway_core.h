#ifndef DAEMON_GATEWAY_GATEWAY_CORE_H_
#define DAEMON_GATEWAY_GATEWAY_CORE_H_

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "coordination/admission/admission.h"
#include "coordination/backpressure/backpressure.h"
#include "coordination/freshness/freshness.h"
#include "coordination/retry_window/retry_window.h"
#include "daemon/gateway/crash_watch.h"
#include "daemon/gateway/gateway_registry.h"
#include "daemon/gateway/store_watch.h"
#include "state/fleet/fleet.h"
#include "state/metrics/gateway_metrics.h"
#include "state/routing/router.h"
#include "state/serving/hosted_settings.h"
#include "transport/event_loop/event_loop.h"
#include "transport/http_channel/endpoint_pool.h"

namespace wagtailshore::gateway {

// State that all requests of a gateway share. Used on the loop's thread only.
struct GatewayCore {
  event_loop::EventLoop& loop;
  const serving::HostedSettings& settings;
  http_channel::EndpointPool& pool;
  routing::Router& router;
  fleet::Fleet& fleet;
  const freshness::Freshness& freshness;
  const StoreWatch& store;
  CrashWatch& crashes;
  const GatewayRegistry& registry;
  metrics::GatewayMetrics& metrics;
  // By service.
  std::map<std::string, retry_window::RetryWindow> retry_windows;
  std::map<std::string, admission::AdmissionControl> admissions;
  backpressure::Backpressure backpressure{{}};
  // Bytes of answers that are buffered until they are complete, over all
  // requests.
  size_t buffered_bytes = 0;
  // While the process stops: when requests that are still open get their final
  // answer.
  std::optional<common::Time> stops_at = std::nullopt;
  std::minstd_rand random;
};

}  // namespace wagtailshore::gateway

#endif  // DAEMON_GATEWAY_GATEWAY_CORE_H_
