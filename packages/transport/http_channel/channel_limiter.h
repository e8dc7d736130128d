#ifndef TRANSPORT_HTTP_CHANNEL_CHANNEL_LIMITER_H_
#define TRANSPORT_HTTP_CHANNEL_CHANNEL_LIMITER_H_

#include <cstdint>
#include <map>
#include <optional>

#include "coordination/client_budget/client_budget.h"
#include "transport/event_loop/event_loop.h"

namespace wagtailshore::http_channel {

// A connection whose memory is counted.
class LimitedChannel {
 public:
  virtual ~LimitedChannel() = default;
  // Frees what the channel holds beyond its connection: refuses the request
  // that arrives, or drops the response that the client does not read.
  virtual void Evict() = 0;
  // Closes the connection at once, without a further call to the limiter.
  virtual void CloseForNewClient() = 0;
};

// Counts the memory and the number of a process's client connections against
// one budget, and evicts channels for others. Must outlive them.
class ChannelLimiter {
 public:
  ChannelLimiter(event_loop::EventLoop& loop,
                 const client_budget::BudgetOptions& options)
      : loop_(loop), budget_(options) {}
  ~ChannelLimiter();
  ChannelLimiter(const ChannelLimiter&) = delete;
  ChannelLimiter& operator=(const ChannelLimiter&) = delete;

  // Makes room for one more connection. Returns its id, or nothing if it must
  // be closed. Attach() follows before anything else happens on the loop.
  std::optional<client_budget::ClientId> Open();
  void Attach(client_budget::ClientId id, LimitedChannel& channel);
  void Close(client_budget::ClientId id);

  // Sets what the channel holds; false if the budget is exhausted.
  bool Resize(client_budget::ClientId id, size_t bytes);
  bool ResizeOptional(client_budget::ClientId id, size_t bytes) {
    return budget_.ResizeOptional(id, bytes);
  }
  void SetPhase(client_budget::ClientId id, client_budget::Phase phase);
  // For the log: the channel refused a request for want of room.
  void OnRefused();

  size_t held_bytes() const { return budget_.held_bytes(); }
  // Since the start.
  uint64_t refused() const { return refused_; }
  uint64_t evicted() const { return evicted_; }

 private:
  void LogSoon();
  // Gives memory back to the machine if clients have freed much of it.
  void TrimSoon();

  event_loop::EventLoop& loop_;
  client_budget::ClientBudget budget_;
  client_budget::ClientId next_id_ = 1;
  std::map<client_budget::ClientId, LimitedChannel*> channels_;
  uint64_t refused_ = 0;
  uint64_t evicted_ = 0;
  uint64_t closed_ = 0;
  // Counts at the last log line.
  uint64_t logged_refused_ = 0;
  uint64_t logged_evicted_ = 0;
  uint64_t logged_closed_ = 0;
  event_loop::TimerId log_timer_ = event_loop::kNoTimer;
  event_loop::TimerId trim_timer_ = event_loop::kNoTimer;
};

}  // namespace wagtailshore::http_channel

#endif  // TRANSPORT_HTTP_CHANNEL_CHANNEL_LIMITER_H_
