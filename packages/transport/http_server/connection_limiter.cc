#include "transport/http_server/connection_limiter.h"

#include "common/event_log.h"
#include "common/strings.h"
#include "transport/machine/machine.h"

namespace wagtailshore::http_server {
namespace {

// Refusals may come thousands of times a second, so the log has counts.
constexpr common::Duration kLogPeriod = common::seconds(1);
// Memory of a connection: its thread's stack and the buffer for its head.
constexpr size_t kConnectionBytes = size_t{64} << 10;

client_budget::BudgetOptions WithThreads(client_budget::BudgetOptions options) {
  options.connection_bytes = kConnectionBytes;
  options.small_bytes += kConnectionBytes;
  return options;
}

}  // namespace

ConnectionLimiter::ConnectionLimiter(client_budget::BudgetOptions options)
    : options_(WithThreads(options)), budget_(options_) {}

std::optional<client_budget::ClientId> ConnectionLimiter::Open(
    LimitedConnection& connection) {
  const std::lock_guard lock(mutex_);
  const common::Time now = common::Clock::now();
  const client_budget::ClientId id = next_id_++;
  const client_budget::Verdict verdict = budget_.Open(id, now);
  for (const client_budget::ClientId evicted : verdict.evicted) {
    const auto found = connections_.find(evicted);
    found->second->Evict();
    connections_.erase(found);
  }
  Log(0, verdict.evicted.size() + (verdict.granted ? 0 : 1), now);
  if (!verdict.granted) {
    return std::nullopt;
  }
  connections_[id] = &connection;
  return id;
}

void ConnectionLimiter::Close(client_budget::ClientId id) {
  {
    const std::lock_guard lock(mutex_);
    connections_.erase(id);
    budget_.Close(id);
  }
  Trim();
}

void ConnectionLimiter::Trim() {
  {
    const std::lock_guard lock(mutex_);
    if (!budget_.ShouldTrim()) {
      return;
    }
  }
  machine::ReturnFreedMemory();
}

bool ConnectionLimiter::Resize(client_budget::ClientId id,
                               size_t bytes,
                               client_budget::Phase phase) {
  const std::lock_guard lock(mutex_);
  if (!connections_.contains(id)) {
    return false;
  }
  const common::Time now = common::Clock::now();
  const client_budget::Verdict verdict =
      budget_.Resize(id, options_.connection_bytes + bytes, now);
  for (const client_budget::ClientId evicted : verdict.evicted) {
    const auto found = connections_.find(evicted);
    found->second->Evict();
    connections_.erase(found);
    budget_.Close(evicted);
  }
  Log(verdict.evicted.size(), 0, now);
  if (verdict.granted) {
    budget_.SetPhase(id, phase, now);
  }
  return verdict.granted;
}

void ConnectionLimiter::Release(client_budget::ClientId id) {
  (void)Resize(id, 0, client_budget::Phase::kWaiting);
}

void ConnectionLimiter::OnRefused() {
  const std::lock_guard lock(mutex_);
  ++refused_;
  Log(0, 0, common::Clock::now());
}

void ConnectionLimiter::Log(size_t evicted, size_t closed, common::Time now) {
  evicted_ += evicted;
  closed_ += closed;
  if (refused_ + evicted_ + closed_ == 0 || now - logged_at_ < kLogPeriod) {
    return;
  }
  common::LogEvent(
      common::EventId::kClientsRefused,
      common::StrCat("refused=", refused_, " evicted=", evicted_,
                     " closed=", closed_, " held_bytes=", budget_.held_bytes(),
                     " clients=", budget_.clients()));
  refused_ = 0;
  evicted_ = 0;
  closed_ = 0;
  logged_at_ = now;
}

}  // namespace wagtailshore::http_server
