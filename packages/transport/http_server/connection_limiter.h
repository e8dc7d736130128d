#ifndef TRANSPORT_HTTP_SERVER_CONNECTION_LIMITER_H_
#define TRANSPORT_HTTP_SERVER_CONNECTION_LIMITER_H_

#include <map>
#include <mutex>
#include <optional>

#include "coordination/client_budget/client_budget.h"

namespace wagtailshore::http_server {

// A connection whose memory is counted.
class LimitedConnection {
 public:
  virtual ~LimitedConnection() = default;
  // Frees what has arrived of the request and closes the connection. Called on
  // any thread; must not call the limiter.
  virtual void Evict() = 0;
};

// Counts the memory and the number of client connections of all servers of a
// process against one budget. Safe to use from any thread. Must outlive the
// connections.
class ConnectionLimiter {
 public:
  explicit ConnectionLimiter(client_budget::BudgetOptions options);

  // Adds a connection. Returns nothing if it must be closed.
  std::optional<client_budget::ClientId> Open(LimitedConnection& connection);
  void Close(client_budget::ClientId id);
  // Sets what the connection holds beside its own objects, in the phase. False
  // if the budget is exhausted, or the connection was evicted.
  bool Resize(client_budget::ClientId id,
              size_t bytes,
              client_budget::Phase phase);
  // The request of the connection has ended.
  void Release(client_budget::ClientId id);
  // For the log: a request was refused for want of room.
  void OnRefused();

  size_t max_connections() const { return options_.max_clients; }

 private:
  // Gives memory back to the machine if clients have freed much of it.
  void Trim();
  // Requires the lock.
  void Log(size_t evicted, size_t closed, common::Time now);

  client_budget::BudgetOptions options_;
  std::mutex mutex_;
  client_budget::ClientBudget budget_;
  client_budget::ClientId next_id_ = 1;
  std::map<client_budget::ClientId, LimitedConnection*> connections_;
  // Counts since the last log line.
  size_t refused_ = 0;
  size_t evicted_ = 0;
  size_t closed_ = 0;
  common::Time logged_at_{};
};

}  // namespace wagtailshore::http_server

#endif  // TRANSPORT_HTTP_SERVER_CONNECTION_LIMITER_H_
