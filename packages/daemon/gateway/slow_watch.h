#ifndef DAEMON_GATEWAY_SLOW_WATCH_H_
#define DAEMON_GATEWAY_SLOW_WATCH_H_

#include <cstdint>
#include <random>
#include <set>
#include <string>

#include "daemon/gateway/store_watch.h"
#include "state/fleet/fleet.h"
#include "state/routing/router.h"
#include "transport/event_loop/event_loop.h"
#include "transport/http_channel/http_call.h"

namespace wagtailshore::gateway {

struct SlowWatchOptions {
  std::string failure_domain;
  // Port of the companions, on the same IP address as their engines; 0 when
  // there are none.
  uint16_t peer_port = 0;
  // Time between requests. An engine that becomes slow stays so for seconds.
  common::Duration period = common::milliseconds(400);
  // A companion answers within a few milliseconds.
  common::Duration timeout = common::milliseconds(150);
  // Time for which the last answer is used while no new one arrives.
  common::Duration expiry = common::milliseconds(1500);
};

// Reads from the companions which engines slow down the steps of their group,
// and passes the list to the router. A gateway cannot measure this itself, as a
// slow engine delays all engines of its group alike.
class SlowWatch {
 public:
  SlowWatch(event_loop::EventLoop& loop,
            http_channel::HttpCaller& caller,
            SlowWatchOptions options,
            const fleet::Fleet& fleet,
            const StoreWatch& store,
            routing::Router& router);

  void Start();

 private:
  void QueryCompanion();
  void OnAnswer(const http_channel::CallResult& result);
  // "IP:port" of a random companion whose engine is in a group, preferably in
  // the own failure domain; empty when there is none.
  std::string ChooseCompanion();
  // Passes the slow endpoints to the router and logs them.
  void UpdateSlowEndpoints(const std::set<std::string>& endpoints);

  event_loop::EventLoop& loop_;
  http_channel::HttpCaller& caller_;
  SlowWatchOptions options_;
  const fleet::Fleet& fleet_;
  const StoreWatch& store_;
  routing::Router& router_;
  std::minstd_rand random_;
  // Ids of the endpoints last passed to the router.
  std::set<std::string> slow_endpoints_;
  common::Time last_answer_at_{};
};

}  // namespace wagtailshore::gateway

#endif  // DAEMON_GATEWAY_SLOW_WATCH_H_
