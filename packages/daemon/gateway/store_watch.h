#ifndef DAEMON_GATEWAY_STORE_WATCH_H_
#define DAEMON_GATEWAY_STORE_WATCH_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "common/random_delay.h"
#include "coordination/freshness/freshness.h"
#include "coordination/store_era/store_era.h"
#include "coordination/store_revisions/store_revisions.h"
#include "platform/store.h"
#include "state/fleet/fleet.h"
#include "state/serving/route_table.h"
#include "transport/event_loop/event_loop.h"
#include "transport/http_channel/http_call.h"

namespace wagtailshore::gateway {

struct StoreWatchOptions {
  std::string store_address;
  // Duration of one long poll for a configuration change. The end of each poll
  // confirms that the configuration is current, so this bounds the age of the
  // confirmation. About two thirds of the usual bound of 5 s, which leaves time
  // to detect a lost answer and poll again.
  common::Duration configuration_wait = common::milliseconds(3200);
  // After a change the next long poll starts this much later and is shorter by
  // the same time, so that changes in quick succession are read together. A
  // fifth of the usual 2 s within which a change must be in force.
  common::Duration change_pause = common::milliseconds(400);
  // Time between reads of the endpoint list.
  common::Duration endpoints_period = common::milliseconds(1000);
  // Timeout of a read of the endpoint list, and the time from the start of one
  // that failed to the next one. Missing endpoints are kept for a time after
  // the store's return; this and the list's jitter bound how much later than
  // the return that time begins.
  common::Duration endpoints_timeout = common::milliseconds(500);
  common::Duration endpoints_retry_jitter = common::milliseconds(150);
  // A change that a read of the list shows is delivered by the pending long
  // poll within this time, unless the poll was lost.
  common::Duration poll_check_delay = common::milliseconds(100);
  // Timeout of other calls that are not long polls; added to the wait of those
  // that are.
  common::Duration call_timeout = common::milliseconds(900);
  // Range of the random delay before a failed call is repeated.
  common::Duration retry_min = common::milliseconds(150);
  common::Duration retry_max = common::milliseconds(600);
  // Time within which lost changes are written again after the store came back
  // from an older copy: the platform's contract says "about two seconds" for
  // servers and gives no time for operators. Until then its configuration
  // confirms nothing.
  common::Duration rewriting_time = common::milliseconds(2200);
};

// Keeps the configuration and the fleet up to date from the platform's store.
// While the store is unavailable, the last known state stays in use.
class StoreWatch {
 public:
  // Called after every change of the fleet.
  using OnFleetChange = std::function<void(const fleet::FleetChange&)>;
  // Called when the store responds again after an outage.
  using OnStoreBack = std::function<void()>;
  // Called after each read of the endpoint list, as its answer shows the
  // store's newest revision.
  using OnListRead = std::function<void()>;

  StoreWatch(event_loop::EventLoop& loop,
             http_channel::HttpCaller& caller,
             StoreWatchOptions options,
             store_era::StoreEra& era,
             store_revisions::StoreRevisions& revisions,
             freshness::Freshness& freshness,
             fleet::Fleet& fleet,
             OnFleetChange on_fleet_change,
             OnStoreBack on_store_back,
             OnListRead on_list_read);

  void Start();

  // The configuration in force; null before the first one.
  const std::shared_ptr<const serving::RouteTable>& routes() const {
    return routes_;
  }
  // Whether the operators' newest configuration is missing or cannot be read.
  // The one in force is then not confirmed any more: the newest may have taken
  // keys away.
  bool newest_refused() const { return !newest_finding_.empty(); }
  // Number of calls to the store so far.
  uint64_t calls() const { return calls_; }

 private:
  // What an answer about the configuration contains.
  enum class Scope { kChanges, kWholeTable };

  void ReadConfiguration();
  void AwaitConfiguration(common::Duration wait);
  void OnConfigurationAnswer(common::Time requested_at,
                             Scope scope,
                             const http_channel::CallResult& result);
  // The store confirmed at `answered_at` that the configuration in force is the
  // latest. Has no effect while lost changes may still be written again, or
  // while the newest is refused.
  void ConfirmConfiguration(common::Time answered_at);
  // Reads the changes since the pending long poll was sent, if it was sent
  // before `shown_at` and an answer from then shows changes that it has not
  // delivered.
  void CheckPoll(common::Time shown_at);
  void OnPollChecked(common::Time requested_at,
                     const http_channel::CallResult& result);
  // Puts the configuration in `rows` in force if it is valid and newer.
  void ApplyConfiguration(const platform::Rows& rows, Scope scope);
  // Refuses the newest configuration, which the store had at `revision`.
  void RefuseNewest(const std::string& finding, uint64_t revision);
  // Reads a page of the endpoint list from `start_key` on; an empty key starts
  // a new read of the list.
  void ReadEndpoints(const std::string& start_key);
  void OnEndpointsAnswer(common::Time requested_at,
                         const http_channel::CallResult& result);
  void FinishEndpoints(common::Time requested_at);
  // The store came back from an older copy: reads everything again.
  void OnStoreRestored();
  // Logs which endpoints are kept though the list lacks them, when that
  // changes.
  void LogKeptEndpoints();
  // Records whether the store is available and logs each change.
  void UpdateAvailability(const absl::Status& status);
  // Runs the function later, unless the store goes back before.
  void RunAfter(common::Duration delay, std::function<void()> run);
  void Call(const http_channel::Call& call,
            common::Duration timeout,
            std::function<void(http_channel::CallResult)> done);

  event_loop::EventLoop& loop_;
  http_channel::HttpCaller& caller_;
  StoreWatchOptions options_;
  store_era::StoreEra& era_;
  store_revisions::StoreRevisions& revisions_;
  freshness::Freshness& freshness_;
  fleet::Fleet& fleet_;
  OnFleetChange on_fleet_change_;
  OnStoreBack on_store_back_;
  OnListRead on_list_read_;
  std::shared_ptr<const serving::RouteTable> routes_;
  // Why the newest configuration is refused; empty if it is not.
  std::string newest_finding_;
  // The configuration was read up to this revision.
  uint64_t revision_ = 0;
  // When the long poll in progress was sent, and its number; results of earlier
  // ones are dropped.
  std::optional<common::Time> poll_sent_at_;
  uint64_t polls_ = 0;
  // Results of calls from before the store went back are dropped.
  uint64_t generation_ = 0;
  // Until then the store may lack the operators' latest changes.
  common::Time rewritten_at_{};
  freshness::StoreClock clock_;
  // Entries of the list that is being read, and when its first page was
  // requested.
  std::vector<fleet::EndpointRecord> records_;
  common::Time list_requested_at_{};
  common::RandomDelay retry_delay_;
  common::RandomDelay endpoints_retry_jitter_;
  bool available_ = false;
  bool ever_available_ = false;
  uint64_t calls_ = 0;
  // Number of malformed entries in the list: in this read, and when last
  // logged; and the key of the last malformed entry.
  uint32_t unreadable_entries_ = 0;
  uint32_t unreadable_entries_logged_ = 0;
  std::string unreadable_key_;
  std::set<std::string> kept_logged_;
};

}  // namespace wagtailshore::gateway

#endif  // DAEMON_GATEWAY_STORE_WATCH_H_
