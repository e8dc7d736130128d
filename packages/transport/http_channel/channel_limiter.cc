#include "transport/http_channel/channel_limiter.h"

#include "common/event_log.h"
#include "common/strings.h"
#include "transport/machine/machine.h"

namespace wagtailshore::http_channel {
namespace {

// Refusals may come thousands of times a second, so the log has counts.
constexpr common::Duration kLogPeriod = common::seconds(1);
constexpr common::Duration kTrimDelay = common::milliseconds(1);

}  // namespace

ChannelLimiter::~ChannelLimiter() {
  loop_.Cancel(log_timer_);
  loop_.Cancel(trim_timer_);
}

std::optional<client_budget::ClientId> ChannelLimiter::Open() {
  const client_budget::ClientId id = next_id_++;
  const client_budget::Verdict verdict = budget_.Open(id, loop_.Now());
  for (const client_budget::ClientId evicted : verdict.evicted) {
    const auto found = channels_.find(evicted);
    if (found != channels_.end()) {
      LimitedChannel* channel = found->second;
      channels_.erase(found);
      channel->CloseForNewClient();
    }
  }
  closed_ += verdict.evicted.size() + (verdict.granted ? 0 : 1);
  if (!verdict.granted || !verdict.evicted.empty()) {
    LogSoon();
  }
  return verdict.granted ? std::optional(id) : std::nullopt;
}

void ChannelLimiter::Attach(client_budget::ClientId id,
                            LimitedChannel& channel) {
  channels_[id] = &channel;
}

void ChannelLimiter::Close(client_budget::ClientId id) {
  channels_.erase(id);
  budget_.Close(id);
  TrimSoon();
}

void ChannelLimiter::TrimSoon() {
  if (trim_timer_ != event_loop::kNoTimer || !budget_.ShouldTrim()) {
    return;
  }
  // After what was closed has been destroyed.
  trim_timer_ = loop_.RunAfter(kTrimDelay, [this] {
    trim_timer_ = event_loop::kNoTimer;
    machine::ReturnFreedMemory();
  });
}

bool ChannelLimiter::Resize(client_budget::ClientId id, size_t bytes) {
  const client_budget::Verdict verdict = budget_.Resize(id, bytes, loop_.Now());
  evicted_ += verdict.evicted.size();
  for (const client_budget::ClientId evicted : verdict.evicted) {
    channels_.at(evicted)->Evict();
  }
  if (!verdict.evicted.empty()) {
    LogSoon();
  }
  TrimSoon();
  return verdict.granted;
}

void ChannelLimiter::SetPhase(client_budget::ClientId id,
                              client_budget::Phase phase) {
  budget_.SetPhase(id, phase, loop_.Now());
}

void ChannelLimiter::OnRefused() {
  ++refused_;
  LogSoon();
}

void ChannelLimiter::LogSoon() {
  if (log_timer_ != event_loop::kNoTimer) {
    return;
  }
  log_timer_ = loop_.RunAfter(kLogPeriod, [this] {
    log_timer_ = event_loop::kNoTimer;
    common::LogEvent(common::EventId::kClientsRefused,
                     common::StrCat("refused=", refused_ - logged_refused_,
                                    " evicted=", evicted_ - logged_evicted_,
                                    " closed=", closed_ - logged_closed_,
                                    " held_bytes=", budget_.held_bytes(),
                                    " clients=", budget_.clients()));
    logged_refused_ = refused_;
    logged_evicted_ = evicted_;
    logged_closed_ = closed_;
  });
}

}  // namespace wagtailshore::http_channel
