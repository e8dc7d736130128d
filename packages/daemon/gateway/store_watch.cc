#include "daemon/gateway/store_watch.h"

#include <algorithm>
#include <utility>

#include "common/event_log.h"
#include "common/strings.h"

namespace wagtailshore::gateway {
namespace {

// The time of an answer is known from below, by up to this much on a slow
// instance.
constexpr common::Duration kAnswerTimeError = common::milliseconds(50);

}  // namespace

StoreWatch::StoreWatch(event_loop::EventLoop& loop,
                       http_channel::HttpCaller& caller,
                       StoreWatchOptions options,
                       store_era::StoreEra& era,
                       store_revisions::StoreRevisions& revisions,
                       freshness::Freshness& freshness,
                       fleet::Fleet& fleet,
                       OnFleetChange on_fleet_change,
                       OnStoreBack on_store_back,
                       OnListRead on_list_read)
    : loop_(loop),
      caller_(caller),
      options_(std::move(options)),
      era_(era),
      revisions_(revisions),
      freshness_(freshness),
      fleet_(fleet),
      on_fleet_change_(std::move(on_fleet_change)),
      on_store_back_(std::move(on_store_back)),
      on_list_read_(std::move(on_list_read)),
      retry_delay_(options_.retry_min, options_.retry_max),
      endpoints_retry_jitter_(common::Duration::zero(),
                              options_.endpoints_retry_jitter) {
  era_.OnRestored([this] { OnStoreRestored(); });
}

void StoreWatch::Start() {
  ReadConfiguration();
  ReadEndpoints({});
}

void StoreWatch::Call(const http_channel::Call& call,
                      common::Duration timeout,
                      std::function<void(http_channel::CallResult)> done) {
  ++calls_;
  caller_.Start(options_.store_address, call, timeout,
                [this, generation = generation_, done = std::move(done)](
                    const http_channel::CallResult& result) {
                  if (generation != generation_) {
                    return;
                  }
                  if (era_.Accept(platform::EraOf(result))) {
                    done(result);
                  } else if (generation == generation_) {
                    done(absl::UnavailableError("answer of an earlier era"));
                  }
                });
}

void StoreWatch::RunAfter(common::Duration delay, std::function<void()> run) {
  loop_.RunAfter(delay, [this, generation = generation_, run = std::move(run)] {
    if (generation == generation_) {
      run();
    }
  });
}

void StoreWatch::OnStoreRestored() {
  common::LogEvent(
      common::EventId::kStoreRestored,
      common::StrCat("era=", era_.current(), " revision=", revision_));
  ++generation_;
  poll_sent_at_.reset();
  rewritten_at_ = loop_.Now() + options_.rewriting_time;
  fleet_.OnListRestored(loop_.Now());
  ReadConfiguration();
  ReadEndpoints({});
}

void StoreWatch::ReadConfiguration() {
  const common::Time requested_at = loop_.Now();
  Call(platform::ReadConfigurationCall(), options_.call_timeout,
       [this, requested_at](const http_channel::CallResult& result) {
         OnConfigurationAnswer(requested_at, Scope::kWholeTable, result);
       });
}

void StoreWatch::AwaitConfiguration(common::Duration wait) {
  const common::Time requested_at = loop_.Now();
  poll_sent_at_ = requested_at;
  Call(platform::AwaitConfigurationCall(revision_, wait),
       wait + options_.call_timeout,
       [this, requested_at,
        poll = ++polls_](const http_channel::CallResult& result) {
         if (poll == polls_) {
           poll_sent_at_.reset();
           OnConfigurationAnswer(requested_at, Scope::kChanges, result);
         }
       });
}

void StoreWatch::CheckPoll(common::Time shown_at) {
  if (!poll_sent_at_.has_value() || *poll_sent_at_ > shown_at ||
      !revisions_.MayHaveChanged(revision_)) {
    return;
  }
  const common::Time requested_at = loop_.Now();
  Call(platform::AwaitConfigurationCall(revision_, common::Duration::zero()),
       options_.call_timeout,
       [this, requested_at,
        poll = polls_](const http_channel::CallResult& result) {
         if (poll == polls_ && poll_sent_at_.has_value()) {
           OnPollChecked(requested_at, result);
         }
       });
}

void StoreWatch::OnPollChecked(common::Time requested_at,
                               const http_channel::CallResult& result) {
  const auto rows = platform::DecodeRows(result);
  if (!rows.ok() && !absl::IsFailedPrecondition(rows.status())) {
    // The next read of the list leads to another check.
    UpdateAvailability(rows.status());
    return;
  }
  if (rows.ok() && rows->rows.empty() && rows->unreadable.empty()) {
    revisions_.OnAnswer(rows->revision);
    revision_ = rows->revision;
    ConfirmConfiguration(
        clock_.EarliestAnswerTime(requested_at, loop_.Now(), rows->store_time));
    return;
  }
  common::LogEvent(
      common::EventId::kPollLost,
      common::StrCat("table=configuration waited_ms=",
                     common::ToMilliseconds(loop_.Now() - *poll_sent_at_),
                     " revision=", revision_));
  ++polls_;
  poll_sent_at_.reset();
  OnConfigurationAnswer(requested_at, Scope::kChanges, result);
}

void StoreWatch::ConfirmConfiguration(common::Time answered_at) {
  if (answered_at >= rewritten_at_ && !newest_refused()) {
    freshness_.OnConfirmed(answered_at);
  }
}

void StoreWatch::OnConfigurationAnswer(common::Time requested_at,
                                       Scope scope,
                                       const http_channel::CallResult& result) {
  const auto rows = platform::DecodeRows(result);
  if (absl::IsAborted(rows.status())) {
    // A read is answered at once, and confirms the configuration sooner than
    // another poll.
    ReadConfiguration();
    return;
  }
  if (!rows.ok()) {
    UpdateAvailability(rows.status());
    const bool history_gone = absl::IsFailedPrecondition(rows.status());
    // A read has the latest configuration only, a feed all since its revision.
    const bool read = history_gone || routes_ == nullptr ||
                      absl::IsResourceExhausted(rows.status());
    RunAfter(history_gone ? common::Duration::zero() : retry_delay_.Next(),
             [this, read] {
               if (read) {
                 ReadConfiguration();
               } else {
                 AwaitConfiguration(options_.configuration_wait);
               }
             });
    return;
  }
  UpdateAvailability(absl::OkStatus());
  const common::Time earliest_answer_at =
      clock_.EarliestAnswerTime(requested_at, loop_.Now(), rows->store_time);
  for (const platform::Row& row : rows->rows) {
    revisions_.OnRow(row.revision);
  }
  revisions_.OnAnswer(rows->revision);
  ApplyConfiguration(*rows, scope);
  if (routes_ == nullptr) {
    RunAfter(retry_delay_.Next(), [this] { ReadConfiguration(); });
    return;
  }
  revision_ = rows->revision;
  if (earliest_answer_at < rewritten_at_) {
    // The operators may still have to write a lost change again, so this
    // confirms nothing. Changes are taken in all the same.
    const common::Duration left =
        rewritten_at_ + kAnswerTimeError - loop_.Now();
    AwaitConfiguration(std::max(left, options_.change_pause));
    return;
  }
  // While more changes are pending, the configuration may not be the latest.
  if (!rows->has_more) {
    ConfirmConfiguration(earliest_answer_at);
  }
  if (rows->rows.empty() || rows->has_more) {
    AwaitConfiguration(options_.configuration_wait);
    return;
  }
  RunAfter(options_.change_pause, [this] {
    AwaitConfiguration(options_.configuration_wait - options_.change_pause);
  });
}

void StoreWatch::RefuseNewest(const std::string& finding, uint64_t revision) {
  if (newest_finding_ == finding) {
    return;
  }
  newest_finding_ = finding;
  common::LogEvent(common::EventId::kManifestRefused,
                   common::StrCat("revision=", revision, " in_force=",
                                  routes_ == nullptr ? 0 : routes_->version(),
                                  " finding=", finding));
}

void StoreWatch::ApplyConfiguration(const platform::Rows& rows, Scope scope) {
  if (platform::HasUnreadableConfiguration(rows)) {
    RefuseNewest("the row cannot be read", rows.revision);
    return;
  }
  const platform::Row* row = platform::FindConfiguration(rows);
  if (row == nullptr) {
    if (scope == Scope::kWholeTable) {
      RefuseNewest("there is no configuration", rows.revision);
    }
    return;
  }
  if (row->deleted) {
    RefuseNewest("the configuration was deleted", row->revision);
    return;
  }
  auto configuration = platform::DecodeConfiguration(row->value);
  if (!configuration.ok()) {
    RefuseNewest(std::string(configuration.status().message()), row->revision);
    return;
  }
  newest_finding_.clear();
  // Versions only increase; an older one comes from a late answer.
  if (routes_ != nullptr && configuration->version <= routes_->version()) {
    return;
  }
  routes_ =
      std::make_shared<const serving::RouteTable>(*std::move(configuration));
  std::set<std::string> services;
  for (const serving::Service& service : routes_->configuration().services) {
    services.insert(service.name);
  }
  fleet_.OnServices(std::move(services));
  common::LogEvent(
      common::EventId::kManifestInForce,
      common::StrCat("version=", routes_->version(),
                     " routes=", routes_->configuration().routes.size(),
                     " customers=", routes_->configuration().customers.size(),
                     " needs_keys=", routes_->configuration().needs_keys));
  if (const auto& findings = routes_->configuration().findings;
      !findings.empty()) {
    common::LogEvent(common::EventId::kManifestFieldsMalformed,
                     common::StrCat("version=", routes_->version(),
                                    " findings=", findings.size(), " ",
                                    common::SummaryOf(findings)));
  }
}

void StoreWatch::ReadEndpoints(const std::string& start_key) {
  const common::Time requested_at = loop_.Now();
  if (start_key.empty()) {
    records_.clear();
    unreadable_entries_ = 0;
    list_requested_at_ = requested_at;
  }
  Call(platform::ReadEndpointsCall(start_key), options_.endpoints_timeout,
       [this, requested_at](const http_channel::CallResult& result) {
         OnEndpointsAnswer(requested_at, result);
       });
}

void StoreWatch::OnEndpointsAnswer(common::Time requested_at,
                                   const http_channel::CallResult& result) {
  const auto rows = platform::DecodeRows(result);
  if (!rows.ok()) {
    UpdateAvailability(rows.status());
    fleet_.OnListUnavailable();
    const common::Time next = requested_at + options_.endpoints_timeout;
    RunAfter(std::max(next - loop_.Now(), common::Duration::zero()) +
                 endpoints_retry_jitter_.Next(),
             [this] { ReadEndpoints({}); });
    return;
  }
  UpdateAvailability(absl::OkStatus());
  const common::Time earliest_answer_at =
      clock_.EarliestAnswerTime(requested_at, loop_.Now(), rows->store_time);
  revisions_.OnAnswer(rows->revision);
  for (const platform::Row& row : rows->rows) {
    revisions_.OnRow(row.revision);
    auto record = platform::DecodeEndpoint(row);
    if (record.ok()) {
      records_.push_back(*std::move(record));
    } else {
      ++unreadable_entries_;
      unreadable_key_ = row.key;
    }
  }
  for (const std::string& key : rows->unreadable) {
    ++unreadable_entries_;
    unreadable_key_ = key;
  }
  if (rows->has_more) {
    // The smallest key after the last one.
    ReadEndpoints(rows->rows.back().key + '\0');
    return;
  }
  FinishEndpoints(list_requested_at_);
  if (routes_ != nullptr && !revisions_.MayHaveChanged(revision_)) {
    ConfirmConfiguration(earliest_answer_at);
  } else {
    RunAfter(options_.poll_check_delay,
             [this, shown_at = loop_.Now()] { CheckPoll(shown_at); });
  }
  on_list_read_();
}

void StoreWatch::FinishEndpoints(common::Time requested_at) {
  if (unreadable_entries_ != unreadable_entries_logged_) {
    unreadable_entries_logged_ = unreadable_entries_;
    common::LogEvent(common::EventId::kEntriesUnreadable,
                     common::StrCat("entries=", unreadable_entries_,
                                    " last=", unreadable_key_));
  }
  const fleet::FleetChange change =
      fleet_.OnList(records_, requested_at, loop_.Now());
  if (!change.empty()) {
    on_fleet_change_(change);
  }
  LogKeptEndpoints();
  common::Time next = requested_at + options_.endpoints_period;
  if (const auto lapses_end = fleet_.relisting_ends_at()) {
    next = std::min(next, *lapses_end);
  }
  RunAfter(std::max(next - loop_.Now(), common::Duration::zero()),
           [this] { ReadEndpoints({}); });
}

void StoreWatch::LogKeptEndpoints() {
  if (kept_logged_ == fleet_.unlisted()) {
    return;
  }
  kept_logged_ = fleet_.unlisted();
  std::string ids;
  for (const std::string& id : kept_logged_) {
    common::StrAppend(&ids, ids.empty() ? "" : ",", id);
  }
  const auto end = fleet_.relisting_ends_at();
  common::LogEvent(
      common::EventId::kEndpointsKept,
      common::StrCat(
          "endpoints=", ids.empty() ? "none" : ids, " left_ms=",
          end.has_value() ? common::ToMilliseconds(*end - loop_.Now()) : -1));
}

void StoreWatch::UpdateAvailability(const absl::Status& status) {
  if (status.ok() || absl::IsFailedPrecondition(status)) {
    if (!available_) {
      available_ = true;
      if (ever_available_) {
        common::LogEvent(common::EventId::kPlatformBack, "");
        on_store_back_();
      }
      ever_available_ = true;
    }
    return;
  }
  if (available_) {
    available_ = false;
    common::LogEvent(common::EventId::kPlatformUnavailable,
                     common::StrCat("error=", status.message()));
  }
}

}  // namespace wagtailshore::gateway
