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
  // Where companions answer, on the same IP address as their engines; 0 when
  // there are none.
  uint16_t peer_port = 0;
  // Time between two questions. An engine that turns slow does so for seconds.
  common::Duration period = common::milliseconds(400);
  // A companion answers within a few milliseconds.
  common::Duration timeout = common::milliseconds(150);
  // What was heard counts this long.
  common::Duration expiry = common::milliseconds(1500);
};

// Learns from the companions which engines slow their group's steps down, and
// tells the router. A gateway cannot see that itself: all engines of the group
// are late alike.
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
  void Ask();
  void OnAnswer(const http_channel::CallResult& result);
  // Any companion beside an engine of a group, of the own failure domain if
  // there is one; "IP:port", or empty.
  std::string ChooseCompanion();
  void Tell(const std::set<std::string>& endpoints);

  event_loop::EventLoop& loop_;
  http_channel::HttpCaller& caller_;
  SlowWatchOptions options_;
  const fleet::Fleet& fleet_;
  const StoreWatch& store_;
  routing::Router& router_;
  std::minstd_rand random_;
  std::set<std::string> slow_;
  common::Time heard_at_{};
};

}  // namespace wagtailshore::gateway

#endif  // DAEMON_GATEWAY_SLOW_WATCH_H_
