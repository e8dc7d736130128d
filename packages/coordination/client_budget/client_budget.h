#ifndef COORDINATION_CLIENT_BUDGET_CLIENT_BUDGET_H_
#define COORDINATION_CLIENT_BUDGET_CLIENT_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "common/time.h"

// Divides a process's memory and descriptors among its clients.
namespace wagtailshore::client_budget {

// What a process may take from its machine.
struct MachineLimits {
  size_t memory_bytes = 0;
  // Sockets that the process may have open.
  size_t max_sockets = 0;
};

struct BudgetOptions {
  // Memory for all clients together, in bytes.
  size_t memory_bytes = SIZE_MAX;
  // What a client holds as long as it is connected, with the connection to an
  // endpoint that its request may have.
  size_t connection_bytes = size_t{48} << 10;
  size_t max_clients = SIZE_MAX;
  // A client that holds no more than this is small.
  size_t small_bytes = size_t{96} << 10;
  // Part of the memory that only small clients may use, so that they find room
  // beside large ones that cannot be evicted.
  double small_share = 1.0 / 8;
  // A client that made no progress for this long can be evicted for any other.
  common::Duration stall_time = common::seconds(1);
};

// The part of the machine's limits that is for clients.
BudgetOptions OptionsFor(const MachineLimits& limits);

// Memory for the answers to the process's own calls to other processes, all
// together, in bytes. It is not part of that for clients.
size_t CallBytes(const MachineLimits& limits);

// Whether a client that is alone may hold `bytes` beside its connection.
bool FitsAlone(const BudgetOptions& options, size_t bytes);

using ClientId = uint64_t;

// What a client's memory is held for, which decides whether it can be taken
// back.
enum class Phase {
  // The connection only; no request has begun.
  kWaiting,
  // A request that is not complete. Nothing of it has been passed on.
  kReceiving,
  // A complete request. It may be running, so it is never evicted.
  kRunning,
  // The rest of a response, which the client has not read yet.
  kSending,
};

// Whether a client gets what it asks for, and who is evicted for that.
struct Verdict {
  bool granted = false;
  std::vector<ClientId> evicted;
};

// Grants memory and connections to clients within one budget. When it is
// exhausted, clients whose memory can be taken back are evicted: those that
// hold more than the one that asks, so that many large transfers that never end
// cannot starve small ones, and those that have stalled. Otherwise the asking
// client is refused.
//
// A client that Resize() evicts keeps its connection: the owner refuses its
// request or closes it. One that Open() evicts is closed.
class ClientBudget {
 public:
  explicit ClientBudget(const BudgetOptions& options) : options_(options) {}

  // Adds a client. When there is no room for one more, those that have waited
  // longest are evicted.
  Verdict Open(ClientId id, common::Time now);
  // Sets what a client holds, its connection included. If that is refused, its
  // holding stays as it was. Less than before is always granted.
  Verdict Resize(ClientId id, size_t bytes, common::Time now);
  // The same for memory that the client can do without: granted only while
  // half of the budget is free, and nobody is evicted for it.
  bool ResizeOptional(ClientId id, size_t bytes);
  // The client has entered the phase, or made progress in it.
  void SetPhase(ClientId id, Phase phase, common::Time now);
  void Close(ClientId id);

  size_t held_bytes() const { return held_bytes_; }
  // Whether clients have freed so much since the last call that returned true
  // that the owner must give it back to the machine, which else lacks it for
  // others.
  bool ShouldTrim();
  size_t clients() const { return clients_.size(); }

 private:
  struct Client {
    size_t bytes = 0;
    Phase phase = Phase::kWaiting;
    common::Time since{};
  };

  Client& ClientOf(ClientId id);
  // Sets what is held in all.
  void SetHeld(size_t bytes);
  bool IsEvictable(const Client& client,
                   size_t to_bytes,
                   common::Time now) const;
  bool HasRoomForClient() const;
  // Takes memory back from clients other than `id`, the largest first, until
  // `needed` bytes are free for a holding of `bytes`. Takes nothing if they
  // hold too little.
  std::vector<ClientId> FreeMemory(ClientId id,
                                   size_t needed,
                                   size_t bytes,
                                   common::Time now);
  // The client to close for a new one.
  std::optional<ClientId> LongestWaiting(common::Time now) const;

  BudgetOptions options_;
  std::map<ClientId, Client> clients_;
  size_t held_bytes_ = 0;
  size_t freed_bytes_ = 0;
};

}  // namespace wagtailshore::client_budget

#endif  // COORDINATION_CLIENT_BUDGET_CLIENT_BUDGET_H_
