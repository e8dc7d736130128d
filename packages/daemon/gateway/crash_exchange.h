#ifndef DAEMON_GATEWAY_CRASH_EXCHANGE_H_
#define DAEMON_GATEWAY_CRASH_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "common/random_delay.h"
#include "coordination/store_era/store_era.h"
#include "coordination/store_revisions/store_revisions.h"
#include "platform/store.h"
#include "protocol/crash_report/crash_report.h"
#include "transport/event_loop/event_loop.h"
#include "transport/http_channel/http_call.h"

namespace wagtailshore::gateway {

struct CrashExchangeOptions {
  std::string store_address;
  // Duration of one long poll for changes.
  common::Duration feed_wait = common::seconds(8);
  // A change that another call's answer shows is delivered by the pending long
  // poll within this time, unless the poll was lost. Long enough for a change
  // of the configuration to be read after its pause, which explains its
  // revision.
  common::Duration poll_check_delay = common::milliseconds(450);
  // Timeout of calls that are not long polls; added to the wait of those that
  // are.
  common::Duration call_timeout = common::milliseconds(900);
  // Reports wait this long to be written together: an endpoint that crashes
  // ends several attempts.
  common::Duration batch_delay = common::milliseconds(50);
  // After a change the next long poll starts this much later, so that the
  // reports of many gateways are read together.
  common::Duration change_pause = common::milliseconds(500);
  // Range of the random delay before a failed call is repeated. Doubles with
  // each failure in a row, as calls that the store rejects cost it too; the end
  // of an outage that other calls detect ends the delay.
  common::Duration retry_min = common::milliseconds(150);
  common::Duration retry_max = common::milliseconds(600);
  int max_retry_doublings = 4;
  // Least time between reads of the whole table for the end of an outage.
  common::Duration min_read_interval = common::seconds(2);
  // Rows older than this are removed, on the store's clock.
  common::Duration retention = common::seconds(600);
  common::Duration sweep_period = common::seconds(60);
  // Rows beyond this number are removed, oldest first.
  size_t max_rows = 4000;
  // How long own changes are kept after they were written, in case the store
  // goes back to a copy without them: longer than any such copy is old.
  common::Duration rewrite_memory = common::seconds(60);
  // Changes that wait to be written; further ones are dropped.
  size_t max_unwritten = 2000;
};

// Shares crashes with the other gateways through a table of the store. Each
// crash is a row, so no gateway needs to reach another one, and reports of the
// same crash need no coordination. While the store is unavailable, reports wait
// in memory.
class CrashExchange {
 public:
  // Another gateway's report, or an own one that was written, and when the
  // crash was detected on this process's clock.
  using OnReported =
      std::function<void(const crash_report::CrashReport&, common::Time)>;
  // The crash's row was removed.
  using OnRemoved = std::function<void(const quarantine::Crash&)>;

  CrashExchange(event_loop::EventLoop& loop,
                http_channel::HttpCaller& caller,
                CrashExchangeOptions options,
                store_era::StoreEra& era,
                store_revisions::StoreRevisions& revisions,
                OnReported on_reported,
                OnRemoved on_removed);

  void Start();
  void Report(const quarantine::Crash& crash,
              const std::string& failure_domain,
              common::Time detected_at);
  void Remove(const quarantine::Crash& crash);
  // The store is available after an outage: reads the table at once, as the
  // pending poll may wait on a connection that was lost.
  void OnStoreBack();
  // Another call's answer showed the store's newest revision: finds out whether
  // the pending long poll was lost.
  void OnRevisionShown();

  // Number of rows in the table, as far as known.
  size_t rows() const { return rows_.size(); }

 private:
  // A change that is not written yet. Without a failure domain, the row is
  // removed.
  struct Change {
    std::optional<std::string> failure_domain;
    common::Time detected_at{};
    // Increases with each change of the row.
    uint64_t number = 0;
    // When it was written; only for written changes.
    common::Time written_at{};
  };

  // Reads the table again and writes the own latest changes again.
  void OnStoreRestored();
  void Read(const std::string& start_key);
  void OnPage(const http_channel::CallResult& result);
  void AwaitChange();
  // Reads the changes since the pending long poll was sent, if it was sent
  // before `shown_at` and an answer from then shows changes that it has not
  // delivered.
  void CheckPoll(common::Time shown_at);
  void OnPollChecked(const http_channel::CallResult& result);
  void OnFeed(const http_channel::CallResult& result);
  void Apply(const platform::Row& row);
  void RemoveRow(const std::string& key);
  // Reads or polls again after a delay.
  void RetryLater();
  // Reads the whole table after a delay, unless it is read anew before.
  void ReadLater(common::Duration delay);
  void AwaitChangeLater(common::Duration delay);
  // Returns the delay after one more failure, and counts it in `failures`.
  common::Duration NextRetryDelay(int& failures);
  void SetStoreTime(common::Duration store_time);
  void Enqueue(const quarantine::Crash& crash, Change change);
  void ScheduleWrite(common::Duration delay);
  void Write();
  void OnWritten(const std::map<std::string, uint64_t>& written,
                 const http_channel::CallResult& result);
  // Removes rows that are too old or too many.
  void Sweep();
  // Logs when `available` changes, which is that of the reads or of the writes.
  void UpdateAvailability(bool& available,
                          std::string_view calls,
                          const absl::Status& status);
  // Starts a call whose result is dropped if the table is read anew meanwhile.
  void CallToRead(const http_channel::Call& call,
                  common::Duration timeout,
                  void (CrashExchange::*done)(const http_channel::CallResult&));

  event_loop::EventLoop& loop_;
  http_channel::HttpCaller& caller_;
  CrashExchangeOptions options_;
  store_era::StoreEra& era_;
  store_revisions::StoreRevisions& revisions_;
  OnReported on_reported_;
  OnRemoved on_removed_;
  // Store times of the rows in the table, by key.
  std::map<std::string, common::Duration> rows_;
  // Changes that wait to be written, by key.
  std::map<std::string, Change> unwritten_;
  // Own changes that were written lately, by key.
  std::map<std::string, Change> written_;
  uint64_t changes_ = 0;
  bool writing_ = false;
  event_loop::TimerId write_timer_ = event_loop::kNoTimer;
  // Zero of the store's clock on this process's; unset before the first answer.
  std::optional<common::Time> store_epoch_;
  // The table was read up to this revision.
  uint64_t revision_ = 0;
  // When the long poll in progress was sent.
  std::optional<common::Time> poll_sent_at_;
  // Keys seen by the current read of the whole table, and whether it is done.
  std::set<std::string> keys_read_;
  bool complete_ = false;
  // Whether the current read is the first since the store went back. Rows that
  // it lacks are lost, not removed; the gateways that wrote them do so again.
  bool restored_ = false;
  uint64_t generation_ = 0;
  bool reads_available_ = true;
  bool writes_available_ = true;
  // Failures in a row.
  int read_failures_ = 0;
  int write_failures_ = 0;
  int history_failures_ = 0;
  common::Time last_read_at_{};
  common::RandomDelay retry_delay_;
};

}  // namespace wagtailshore::gateway

#endif  // DAEMON_GATEWAY_CRASH_EXCHANGE_H_
