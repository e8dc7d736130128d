#include "daemon/gateway/gateway_registry.h"

#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"
#include "common/event_log.h"
#include "common/strings.h"

namespace wagtailshore::gateway {
namespace {

// Time between counts, as a share of the time for which one is valid; the rest
// is for the call and one repetition.
constexpr double kCountPeriodShare = 0.8;
// The store's clock is known well enough by a call that took no longer.
constexpr common::Duration kMaxClockError = common::milliseconds(50);

// A row's value: the store's time in milliseconds when it was written.
std::string EncodeRow(common::Duration store_time) {
  return common::StrCat(common::ToMilliseconds(store_time));
}

// A malformed row, or one that was written after `latest`, counts as written at
// the store's start, so that it expires.
common::Duration DecodeRow(const platform::Row& row, common::Duration latest) {
  int64_t milliseconds = 0;
  return absl::SimpleAtoi(row.value, &milliseconds) && milliseconds >= 0 &&
                 milliseconds <= common::ToMilliseconds(latest)
             ? common::milliseconds(milliseconds)
             : common::Duration::zero();
}

}  // namespace

GatewayRegistry::GatewayRegistry(event_loop::EventLoop& loop,
                                 http_channel::HttpCaller& caller,
                                 GatewayRegistryOptions options,
                                 store_era::StoreEra& era,
                                 store_revisions::StoreRevisions& revisions)
    : loop_(loop),
      caller_(caller),
      options_(std::move(options)),
      era_(era),
      revisions_(revisions),
      share_(options_.share),
      retry_delay_(options_.retry_min, options_.retry_max) {
  era_.OnRestored([this] { OnStoreRestored(); });
}

void GatewayRegistry::Start() {
  Read();
}

void GatewayRegistry::ReadAfter(common::Duration delay) {
  loop_.Cancel(timer_);
  timer_ = loop_.RunAfter(delay, [this] {
    timer_ = event_loop::kNoTimer;
    Read();
  });
}

void GatewayRegistry::OnStoreRestored() {
  ++generation_;
  registered_ = false;
  share_.OnTableRestored();
  members_kept_until_ = loop_.Now() + options_.share.window;
  ReadAfter(retry_delay_.Next());
}

void GatewayRegistry::Read() {
  caller_.Start(options_.store_address,
                platform::ReadTableCall(platform::SystemTable::kGateways),
                options_.call_timeout,
                [this, requested_at = loop_.Now(), generation = generation_](
                    const http_channel::CallResult& result) {
                  if (generation == generation_) {
                    OnRows(requested_at, result);
                  }
                });
}

void GatewayRegistry::OnRows(common::Time requested_at,
                             const http_channel::CallResult& result) {
  const auto rows = platform::DecodeTimedRows(result);
  if (!rows.ok()) {
    ReadAfter(retry_delay_.Next());
    return;
  }
  if (!era_.Accept(rows->era)) {
    if (timer_ == event_loop::kNoTimer) {
      ReadAfter(retry_delay_.Next());
    }
    return;
  }
  revisions_.OnAnswer(rows->revision);
  for (const platform::Row& row : rows->rows) {
    revisions_.OnRow(row.revision);
  }
  std::vector<std::string> expired;
  const std::vector<std::string> gateways = LiveKeys(*rows, expired);
  // With more gateways than one page holds, shares would be too small to use.
  share_.OnCounted(rows->has_more ? 0 : gateways.size(), requested_at);
  UpdateMembers(rows->has_more ? std::vector<std::string>() : gateways,
                *rows->store_time, requested_at);
  if (!registered_ || loop_.Now() >= renew_at_) {
    Write(*rows->store_time, expired);
    return;
  }
  ReadAfter(std::chrono::duration_cast<common::Duration>(options_.share.window *
                                                         kCountPeriodShare));
}

std::vector<std::string> GatewayRegistry::LiveKeys(
    const platform::Rows& rows,
    std::vector<std::string>& expired) const {
  std::vector<std::string> live;
  for (const platform::Row& row : rows.rows) {
    // The clock of a store that goes back may go back with it.
    const common::Duration latest = *rows.store_time + options_.row_expiry;
    if (DecodeRow(row, latest) + options_.row_expiry >= *rows.store_time ||
        row.key == options_.name) {
      live.push_back(row.key);
    } else if (expired.size() + 1 < platform::kMaxChanges) {
      expired.push_back(row.key);
    }
  }
  return live;
}

void GatewayRegistry::UpdateMembers(const std::vector<std::string>& gateways,
                                    common::Duration store_time,
                                    common::Time requested_at) {
  const common::Time now = loop_.Now();
  const bool first = members_.empty();
  if (now >= members_kept_until_ || gateways.size() > members_.size()) {
    members_ = gateways;
  }
  const bool listed = std::find(gateways.begin(), gateways.end(),
                                options_.name) != gateways.end();
  if (first && listed && !registered_) {
    // The row of an earlier process with the name: all others know it.
    known_to_all_at_ = now;
  }
  const common::Duration took = now - requested_at;
  if (took <= std::max(store_epoch_error_, kMaxClockError)) {
    store_epoch_ = requested_at + took / 2 - store_time;
    store_epoch_error_ = took;
  }
}

std::optional<endpoint_limits::Share> GatewayRegistry::LimitShare(
    common::Time now) const {
  const auto own = std::find(members_.begin(), members_.end(), options_.name);
  if (!known_to_all_at_.has_value() || now < *known_to_all_at_ ||
      own == members_.end()) {
    return std::nullopt;
  }
  return endpoint_limits::Share{
      .index = static_cast<size_t>(own - members_.begin()),
      .gateways = members_.size(),
      .epoch = store_epoch_};
}

void GatewayRegistry::Write(common::Duration store_time,
                            const std::vector<std::string>& expired) {
  caller_.Start(
      options_.store_address,
      platform::ChangeRowsCall(
          platform::SystemTable::kGateways,
          {{.key = options_.name, .value = EncodeRow(store_time)}}, expired),
      options_.call_timeout,
      [this, generation = generation_](const http_channel::CallResult& result) {
        if (generation == generation_) {
          OnWritten(result);
        }
      });
}

void GatewayRegistry::OnWritten(const http_channel::CallResult& result) {
  const bool written = platform::DecodeWriteResult(result).ok();
  if (!era_.Accept(platform::EraOf(result)) || !written) {
    if (timer_ == event_loop::kNoTimer) {
      ReadAfter(retry_delay_.Next());
    }
    return;
  }
  if (!registered_) {
    registered_ = true;
    share_.OnRegistered(loop_.Now());
    if (!known_to_all_at_.has_value()) {
      known_to_all_at_ = loop_.Now() + options_.share.window;
    }
  }
  renew_at_ = loop_.Now() + options_.renewal_period;
  ReadAfter(std::chrono::duration_cast<common::Duration>(options_.share.window *
                                                         kCountPeriodShare));
}

}  // namespace wagtailshore::gateway
