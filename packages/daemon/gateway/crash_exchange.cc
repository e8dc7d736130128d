#include "daemon/gateway/crash_exchange.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "common/event_log.h"
#include "common/strings.h"

namespace wagtailshore::gateway {

CrashExchange::CrashExchange(event_loop::EventLoop& loop,
                             http_channel::HttpCaller& caller,
                             CrashExchangeOptions options,
                             store_era::StoreEra& era,
                             store_revisions::StoreRevisions& revisions,
                             OnReported on_reported,
                             OnRemoved on_removed)
    : loop_(loop),
      caller_(caller),
      options_(std::move(options)),
      era_(era),
      revisions_(revisions),
      on_reported_(std::move(on_reported)),
      on_removed_(std::move(on_removed)),
      retry_delay_(options_.retry_min, options_.retry_max) {
  era_.OnRestored([this] { OnStoreRestored(); });
}

void CrashExchange::Start() {
  Read({});
  loop_.Every(options_.sweep_period, [this] { Sweep(); });
}

void CrashExchange::CallToRead(
    const http_channel::Call& call,
    common::Duration timeout,
    void (CrashExchange::*done)(const http_channel::CallResult&)) {
  caller_.Start(
      options_.store_address, call, timeout,
      [this, done,
       generation = generation_](const http_channel::CallResult& result) {
        if (generation != generation_) {
          return;
        }
        if (era_.Accept(platform::EraOf(result))) {
          (this->*done)(result);
        } else if (generation == generation_) {
          (this->*done)(absl::UnavailableError("answer of an earlier era"));
        }
      });
}

void CrashExchange::OnStoreRestored() {
  restored_ = true;
  const common::Time oldest = loop_.Now() - options_.rewrite_memory;
  for (auto& [key, change] : written_) {
    if (change.written_at >= oldest && !unwritten_.contains(key)) {
      unwritten_[key] = change;
    }
  }
  written_.clear();
  Read({});
  // Spread, as all gateways write again.
  ScheduleWrite(retry_delay_.Next());
}

void CrashExchange::Read(const std::string& start_key) {
  if (start_key.empty()) {
    ++generation_;
    poll_sent_at_.reset();
    last_read_at_ = loop_.Now();
    complete_ = false;
    keys_read_.clear();
  }
  CallToRead(
      platform::ReadTableCall(platform::SystemTable::kCrashes, start_key),
      options_.call_timeout, &CrashExchange::OnPage);
}

void CrashExchange::OnPage(const http_channel::CallResult& result) {
  const auto page = platform::DecodeTimedRows(result);
  UpdateAvailability(reads_available_, "read", page.status());
  if (!page.ok()) {
    RetryLater();
    return;
  }
  read_failures_ = 0;
  SetStoreTime(*page->store_time);
  if (keys_read_.empty()) {
    // Changes after the first page was read are in the feed from there on.
    revision_ = page->revision;
  }
  revisions_.OnAnswer(page->revision);
  // A row that cannot be read now is not gone.
  keys_read_.insert(page->unreadable.begin(), page->unreadable.end());
  for (const platform::Row& row : page->rows) {
    revisions_.OnRow(row.revision);
    keys_read_.insert(row.key);
    Apply(row);
  }
  if (page->has_more) {
    // The smallest key after the last one.
    Read(page->rows.back().key + '\0');
    return;
  }
  complete_ = true;
  std::vector<std::string> missing;
  for (const auto& [key, store_time] : rows_) {
    if (!keys_read_.contains(key) && !restored_) {
      missing.push_back(key);
    }
  }
  for (const std::string& key : missing) {
    RemoveRow(key);
  }
  restored_ = false;
  AwaitChange();
}

void CrashExchange::AwaitChange() {
  poll_sent_at_ = loop_.Now();
  CallToRead(platform::AwaitTableCall(platform::SystemTable::kCrashes,
                                      revision_, options_.feed_wait),
             options_.feed_wait + options_.call_timeout,
             &CrashExchange::OnFeed);
}

void CrashExchange::OnRevisionShown() {
  if (!revisions_.MayHaveChanged(revision_)) {
    return;
  }
  loop_.RunAfter(options_.poll_check_delay,
                 [this, shown_at = loop_.Now()] { CheckPoll(shown_at); });
}

void CrashExchange::CheckPoll(common::Time shown_at) {
  if (!poll_sent_at_.has_value() || *poll_sent_at_ > shown_at ||
      !revisions_.MayHaveChanged(revision_)) {
    return;
  }
  CallToRead(platform::AwaitTableCall(platform::SystemTable::kCrashes,
                                      revision_, common::Duration::zero()),
             options_.call_timeout, &CrashExchange::OnPollChecked);
}

void CrashExchange::OnPollChecked(const http_channel::CallResult& result) {
  const auto changes = platform::DecodeRows(result);
  const bool history_gone = absl::IsFailedPrecondition(changes.status());
  if (!poll_sent_at_.has_value() || (!changes.ok() && !history_gone)) {
    // The poll has ended, or the next revision leads to another check.
    return;
  }
  if (changes.ok() && changes->rows.empty()) {
    revisions_.OnAnswer(changes->revision);
    revision_ = changes->revision;
    return;
  }
  common::LogEvent(
      common::EventId::kPollLost,
      common::StrCat("table=crashes waited_ms=",
                     common::ToMilliseconds(loop_.Now() - *poll_sent_at_),
                     " revision=", revision_));
  // Drops the poll's result.
  ++generation_;
  OnFeed(result);
}

void CrashExchange::OnFeed(const http_channel::CallResult& result) {
  poll_sent_at_.reset();
  const auto changes = platform::DecodeTimedRows(result);
  if (absl::IsAborted(changes.status())) {
    AwaitChange();
    return;
  }
  const bool history_gone = absl::IsFailedPrecondition(changes.status());
  UpdateAvailability(reads_available_, "read",
                     history_gone ? absl::OkStatus() : changes.status());
  if (history_gone) {
    // Reads may be behind the history that is left, so that the next poll finds
    // it gone again.
    const common::Duration delay = NextRetryDelay(history_failures_);
    ReadLater(history_failures_ == 1 ? common::Duration::zero() : delay);
    return;
  }
  if (absl::IsResourceExhausted(changes.status())) {
    // Unlike a feed, a read comes in pages.
    ReadLater(NextRetryDelay(read_failures_));
    return;
  }
  if (!changes.ok()) {
    RetryLater();
    return;
  }
  read_failures_ = 0;
  history_failures_ = 0;
  SetStoreTime(*changes->store_time);
  revisions_.OnAnswer(changes->revision);
  for (const platform::Row& row : changes->rows) {
    revisions_.OnRow(row.revision);
    if (row.deleted) {
      RemoveRow(row.key);
    } else {
      Apply(row);
    }
  }
  revision_ = changes->revision;
  if (changes->rows.empty()) {
    AwaitChange();
  } else {
    AwaitChangeLater(options_.change_pause);
  }
}

common::Duration CrashExchange::NextRetryDelay(int& failures) {
  const int doublings = std::min(failures++, options_.max_retry_doublings);
  return retry_delay_.Next() * (1 << doublings);
}

void CrashExchange::ReadLater(common::Duration delay) {
  loop_.RunAfter(delay, [this, generation = generation_] {
    if (generation == generation_) {
      Read({});
    }
  });
}

void CrashExchange::RetryLater() {
  if (!complete_) {
    ReadLater(NextRetryDelay(read_failures_));
    return;
  }
  AwaitChangeLater(NextRetryDelay(read_failures_));
}

void CrashExchange::AwaitChangeLater(common::Duration delay) {
  loop_.RunAfter(delay, [this, generation = generation_] {
    if (generation == generation_) {
      AwaitChange();
    }
  });
}

void CrashExchange::OnStoreBack() {
  if (loop_.Now() < last_read_at_ + options_.min_read_interval) {
    return;
  }
  read_failures_ = 0;
  Read({});
  loop_.Cancel(write_timer_);
  write_timer_ = event_loop::kNoTimer;
  ScheduleWrite(common::Duration::zero());
}

void CrashExchange::SetStoreTime(common::Duration store_time) {
  const bool first = !store_epoch_.has_value();
  store_epoch_ = loop_.Now() - store_time;
  if (first) {
    ScheduleWrite(common::Duration::zero());
  }
}

void CrashExchange::Apply(const platform::Row& row) {
  if (rows_.contains(row.key)) {
    return;
  }
  const auto report = crash_report::DecodeRow(row.key, row.value);
  if (!report.ok()) {
    common::LogEvent(common::EventId::kEntriesUnreadable,
                     common::StrCat("table=crashes last=", row.key,
                                    " error=", report.status().message()));
    return;
  }
  rows_[row.key] = report->store_time;
  on_reported_(*report, *store_epoch_ + report->store_time);
}

void CrashExchange::RemoveRow(const std::string& key) {
  if (rows_.erase(key) == 0) {
    return;
  }
  const auto crash = crash_report::DecodeRowKey(key);
  if (crash.ok()) {
    on_removed_(*crash);
  }
}

void CrashExchange::Report(const quarantine::Crash& crash,
                           const std::string& failure_domain,
                           common::Time detected_at) {
  Enqueue(crash,
          {.failure_domain = failure_domain, .detected_at = detected_at});
}

void CrashExchange::Remove(const quarantine::Crash& crash) {
  Enqueue(crash, {});
}

void CrashExchange::Enqueue(const quarantine::Crash& crash, Change change) {
  const std::string key = crash_report::RowKey(crash);
  if (unwritten_.size() >= options_.max_unwritten &&
      !unwritten_.contains(key)) {
    common::LogEvent(
        common::EventId::kCrashReportsDropped,
        common::StrCat("content=", crash.digest, " endpoint=", ProcessOf(crash),
                       " waiting=", unwritten_.size()));
    return;
  }
  change.number = ++changes_;
  unwritten_[key] = std::move(change);
  ScheduleWrite(options_.batch_delay);
}

void CrashExchange::ScheduleWrite(common::Duration delay) {
  if (writing_ || write_timer_ != event_loop::kNoTimer) {
    return;
  }
  write_timer_ = loop_.RunAfter(delay, [this] {
    write_timer_ = event_loop::kNoTimer;
    Write();
  });
}

void CrashExchange::Write() {
  if (writing_ || unwritten_.empty() || !store_epoch_.has_value()) {
    return;
  }
  std::vector<platform::Row> puts;
  std::vector<std::string> removes;
  std::map<std::string, uint64_t> numbers;
  for (const auto& [key, change] : unwritten_) {
    if (numbers.size() == platform::kMaxChanges) {
      break;
    }
    numbers[key] = change.number;
    if (!change.failure_domain.has_value()) {
      removes.push_back(key);
      continue;
    }
    puts.push_back({.key = key,
                    .value = crash_report::EncodeRowValue(
                        {.failure_domain = *change.failure_domain,
                         .store_time = change.detected_at - *store_epoch_})});
  }
  writing_ = true;
  caller_.Start(
      options_.store_address,
      platform::ChangeRowsCall(platform::SystemTable::kCrashes, puts, removes),
      options_.call_timeout,
      [this,
       numbers = std::move(numbers)](const http_channel::CallResult& result) {
        OnWritten(numbers, result);
      });
}

void CrashExchange::OnWritten(const std::map<std::string, uint64_t>& written,
                              const http_channel::CallResult& result) {
  writing_ = false;
  const absl::Status status =
      era_.Accept(platform::EraOf(result))
          ? platform::DecodeWriteResult(result)
          : absl::UnavailableError("the store went back to an older copy");
  UpdateAvailability(writes_available_, "write", status);
  if (!status.ok()) {
    // The call may have been executed; writing the same rows again is harmless.
    // A call without an answer has used up its time already.
    const bool first_unanswered =
        absl::IsDeadlineExceeded(result.status()) && write_failures_ == 0;
    const common::Duration delay = NextRetryDelay(write_failures_);
    ScheduleWrite(first_unanswered ? common::Duration::zero() : delay);
    return;
  }
  write_failures_ = 0;
  for (const auto& [key, number] : written) {
    const auto found = unwritten_.find(key);
    if (found != unwritten_.end() && found->second.number == number) {
      found->second.written_at = loop_.Now();
      written_[key] = std::move(found->second);
      unwritten_.erase(found);
    }
  }
  std::erase_if(written_, [this](const auto& item) {
    return item.second.written_at + options_.rewrite_memory < loop_.Now();
  });
  if (!unwritten_.empty()) {
    ScheduleWrite(common::Duration::zero());
  }
}

void CrashExchange::Sweep() {
  if (!store_epoch_.has_value()) {
    return;
  }
  const common::Duration store_now = loop_.Now() - *store_epoch_;
  std::vector<std::pair<common::Duration, std::string>> by_age;
  for (const auto& [key, store_time] : rows_) {
    by_age.emplace_back(store_time, key);
  }
  std::sort(by_age.begin(), by_age.end());
  const size_t excess =
      by_age.size() - std::min(by_age.size(), options_.max_rows);
  for (size_t i = 0; i < by_age.size(); ++i) {
    const auto& [store_time, key] = by_age[i];
    if (i >= excess && store_time + options_.retention > store_now) {
      break;
    }
    if (const auto crash = crash_report::DecodeRowKey(key); crash.ok()) {
      Remove(*crash);
    }
  }
}

void CrashExchange::UpdateAvailability(bool& available,
                                       std::string_view calls,
                                       const absl::Status& status) {
  if (status.ok() == available) {
    return;
  }
  available = status.ok();
  if (available) {
    common::LogEvent(common::EventId::kCrashTableBack,
                     common::StrCat("calls=", calls, " rows=", rows_.size(),
                                    " unwritten=", unwritten_.size()));
  } else {
    common::LogEvent(
        common::EventId::kCrashTableUnavailable,
        common::StrCat("calls=", calls, " unwritten=", unwritten_.size(),
                       " error=", status.message()));
  }
}

}  // namespace wagtailshore::gateway
