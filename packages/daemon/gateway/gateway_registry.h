#ifndef DAEMON_GATEWAY_GATEWAY_REGISTRY_H_
#define DAEMON_GATEWAY_GATEWAY_REGISTRY_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "common/random_delay.h"
#include "coordination/endpoint_limits/endpoint_limits.h"
#include "coordination/retry_window/reserve_share.h"
#include "coordination/store_era/store_era.h"
#include "coordination/store_revisions/store_revisions.h"
#include "platform/store.h"
#include "transport/event_loop/event_loop.h"
#include "transport/http_channel/http_call.h"

namespace wagtailshore::gateway {

struct GatewayRegistryOptions {
  std::string store_address;
  // Key of this gateway's row; the same after a restart.
  std::string name;
  retry_window::ReserveShareOptions share;
  common::Duration call_timeout = common::milliseconds(900);
  // Range of the random delay before a failed call is repeated, and before the
  // row is written again because the store lost it.
  common::Duration retry_min = common::milliseconds(150);
  common::Duration retry_max = common::milliseconds(1500);
  // How often the own row is written again, and the age on the store's clock at
  // which the row of a gateway that is gone is removed.
  common::Duration renewal_period = common::seconds(60);
  common::Duration row_expiry = common::seconds(200);
};

// Registers this gateway in a table of the store and follows which gateways are
// there. They share the reserve of the retry budget and endpoints' limits.
class GatewayRegistry {
 public:
  GatewayRegistry(event_loop::EventLoop& loop,
                  http_channel::HttpCaller& caller,
                  GatewayRegistryOptions options,
                  store_era::StoreEra& era,
                  store_revisions::StoreRevisions& revisions);

  void Start();
  // Retries in a window that this gateway may take from the reserve.
  double ReserveShare(common::Time now) const { return share_.At(now); }
  // This gateway's share of endpoints' limits; nullopt before all others know
  // of it. While the store is away the last known gateways keep their shares.
  std::optional<endpoint_limits::Share> LimitShare(common::Time now) const;

 private:
  // Reads the table for the store's time, writes the own row if it is due, and
  // counts the rows.
  void Read();
  void OnRows(common::Time requested_at,
              const http_channel::CallResult& result);
  // Returns the keys of the rows that have not expired, in order; collects
  // those of the others.
  std::vector<std::string> LiveKeys(const platform::Rows& rows,
                                    std::vector<std::string>& expired) const;
  // Takes over the gateways of a table that was read at once.
  void UpdateMembers(const std::vector<std::string>& gateways,
                     common::Duration store_time,
                     common::Time requested_at);
  void Write(common::Duration store_time,
             const std::vector<std::string>& expired);
  void OnWritten(const http_channel::CallResult& result);
  void OnStoreRestored();
  void ReadAfter(common::Duration delay);

  event_loop::EventLoop& loop_;
  http_channel::HttpCaller& caller_;
  GatewayRegistryOptions options_;
  store_era::StoreEra& era_;
  store_revisions::StoreRevisions& revisions_;
  retry_window::ReserveShare share_;
  bool registered_ = false;
  // All gateways, by name and in order; empty until known.
  std::vector<std::string> members_;
  // Members that the table lacks until then may be lost with its newest rows.
  common::Time members_kept_until_{};
  // Zero of the store's clock on this process's, and how long the call took
  // that showed it.
  common::Time store_epoch_{};
  common::Duration store_epoch_error_ = common::Duration::max();
  // From then on all other gateways know of this one.
  std::optional<common::Time> known_to_all_at_;
  common::Time renew_at_{};
  event_loop::TimerId timer_ = event_loop::kNoTimer;
  // Results of calls from before the store went back are dropped.
  uint64_t generation_ = 0;
  common::RandomDelay retry_delay_;
};

}  // namespace wagtailshore::gateway

#endif  // DAEMON_GATEWAY_GATEWAY_REGISTRY_H_
