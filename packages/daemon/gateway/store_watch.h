#ifndef DAEMON_GATEWAY_STORE_WATCH_H_
#define DAEMON_GATEWAY_STORE_WATCH_H_

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "coordination/freshness/freshness.h"
#include "platform/store.h"
#include "state/fleet/fleet.h"
#include "state/serving/route_table.h"
#include "transport/event_loop/event_loop.h"
#include "transport/http_channel/http_call.h"

namespace wagtailshore::gateway {

struct StoreWatchOptions {
  std::string store_address;
  // How long one wait for a configuration change lasts. Each wait that ends
  // proves the configuration current, so it bounds the age of that proof;
  // two thirds of the usual 5 s bound leave time to notice a lost answer and
  // ask again.
  common::Duration configuration_wait = common::milliseconds(3200);
  // After a change the next wait begins this much later, and is shorter by as
  // much: changes that come in quick succession are then read together. A
  // fifth of the usual 2 s within which a change must be in force.
  common::Duration change_pause = common::milliseconds(400);
  // Time between readings of the endpoint list.
  common::Duration endpoints_period = common::milliseconds(1000);
  // Longest wait for an answer that is due at once.
  common::Duration call_timeout = common::milliseconds(900);
  // Time after a failed call before the next one, at least and at most.
  common::Duration retry_min = common::milliseconds(150);
  common::Duration retry_max = common::milliseconds(600);
};

// Keeps the configuration and the fleet up to date from the platform's store,
// and holds on to them while it is away.
class StoreWatch {
 public:
  // `on_fleet` hears of every change of the fleet.
  using OnFleet = std::function<void(const fleet::FleetChange&)>;

  StoreWatch(event_loop::EventLoop& loop,
             http_channel::HttpCaller& caller,
             StoreWatchOptions options,
             freshness::Freshness& freshness,
             fleet::Fleet& fleet,
             OnFleet on_fleet);

  void Start();

  // The configuration in force; null before the first one.
  const std::shared_ptr<const serving::RouteTable>& routes() const {
    return routes_;
  }
  uint64_t calls() const { return calls_; }

 private:
  void ReadConfiguration();
  void AwaitConfiguration(common::Duration wait);
  void OnConfigurationAnswer(common::Time asked_at,
                             const http_channel::CallResult& result);
  void Adopt(const platform::Rows& rows);
  void ReadEndpoints(const std::string& start_key);
  void OnEndpointsAnswer(common::Time asked_at,
                         const http_channel::CallResult& result);
  void FinishEndpoints(common::Time asked_at);
  void Note(const absl::Status& status);
  common::Duration RetryDelay();
  void Call(const http_channel::Call& call,
            common::Duration timeout,
            std::function<void(http_channel::CallResult)> done);

  event_loop::EventLoop& loop_;
  http_channel::HttpCaller& caller_;
  StoreWatchOptions options_;
  freshness::Freshness& freshness_;
  fleet::Fleet& fleet_;
  OnFleet on_fleet_;
  std::shared_ptr<const serving::RouteTable> routes_;
  uint64_t revision_ = 0;
  freshness::StoreClock clock_;
  std::vector<fleet::EndpointRecord> records_;
  common::Time list_asked_at_{};
  std::minstd_rand random_;
  bool available_ = false;
  bool ever_available_ = false;
  uint64_t calls_ = 0;
  // Entries of the list that name no endpoint: in this reading, when last
  // logged, and the key of the last one.
  uint32_t unreadable_entries_ = 0;
  uint32_t unreadable_entries_logged_ = 0;
  std::string unreadable_key_;
};

}  // namespace wagtailshore::gateway

#endif  // DAEMON_GATEWAY_STORE_WATCH_H_
