#ifndef DAEMON_GATEWAY_LOAD_WATCH_H_
#define DAEMON_GATEWAY_LOAD_WATCH_H_

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "daemon/gateway/store_watch.h"
#include "protocol/companion_messages/companion_messages.h"
#include "state/fleet/fleet.h"
#include "state/routing/router.h"
#include "transport/event_loop/event_loop.h"
#include "transport/http_channel/http_call.h"

namespace wagtailshore::gateway {

struct LoadWatchOptions {
  std::string failure_domain;
  // Where companions answer, on the same IP address as their engines.
  uint16_t peer_port = 0;
  // Time between two questions; the loads that companions know are a few
  // hundred milliseconds old in any case.
  common::Duration period = common::milliseconds(150);
  // A companion across failure domains answers within a few milliseconds.
  common::Duration timeout = common::milliseconds(120);
  // Time until the next question after one that brought nothing.
  common::Duration pause_after_failure = common::milliseconds(600);
  // Older tables say less than the gateway's own view.
  common::Duration oldest = common::milliseconds(1000);
};

// Keeps the router's view of engines' loads current. A gateway alone sees the
// load of an engine only when that answers it, once in seconds in a large
// fleet; the companions of a group know all of them.
class LoadWatch {
 public:
  LoadWatch(event_loop::EventLoop& loop,
            http_channel::HttpCaller& caller,
            LoadWatchOptions options,
            const fleet::Fleet& fleet,
            const StoreWatch& store,
            routing::Router& router);

  void Start();

 private:
  void Ask();
  void OnAnswer(common::Time asked_at, const http_channel::CallResult& result);
  // The companion to ask: any one beside an engine of a group, of the own
  // failure domain if there is one. Empty when there is none.
  std::string ChooseCompanion();

  event_loop::EventLoop& loop_;
  http_channel::HttpCaller& caller_;
  LoadWatchOptions options_;
  const fleet::Fleet& fleet_;
  const StoreWatch& store_;
  routing::Router& router_;
  std::minstd_rand random_;
};

}  // namespace wagtailshore::gateway

#endif  // DAEMON_GATEWAY_LOAD_WATCH_H_
