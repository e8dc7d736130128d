#include "coordination/client_budget/client_budget.h"

#include <algorithm>
#include <tuple>

#include "common/invariant.h"

namespace wagtailshore::client_budget {
namespace {

// Memory of a process without clients: code, configuration, list of endpoints,
// and what the allocator keeps; and a share of the machine's for the answers to
// its own calls.
constexpr size_t kOwnBytes = size_t{20} << 20;
constexpr size_t kOwnShare = 8;
// Part of the memory for clients that may be freed and not yet given back.
constexpr size_t kFreedShare = 8;
// Left to clients in any case.
constexpr size_t kLeastShare = 4;
// Connections to the store and to other processes, and listening sockets.
constexpr size_t kOwnSockets = 64;
// A caller whose request runs has a connection to an endpoint too.
constexpr size_t kSocketsPerClient = 2;

// Memory up to which a client that would hold `bytes` may fill the budget.
size_t Ceiling(const BudgetOptions& options, size_t bytes) {
  if (bytes <= options.small_bytes) {
    return options.memory_bytes;
  }
  return options.memory_bytes -
         static_cast<size_t>(static_cast<double>(options.memory_bytes) *
                             options.small_share);
}

}  // namespace

BudgetOptions OptionsFor(const MachineLimits& limits) {
  const size_t own_bytes = kOwnBytes + limits.memory_bytes / kOwnShare;
  const size_t least = limits.memory_bytes / kLeastShare;
  const size_t sockets = limits.max_sockets > 2 * kOwnSockets
                             ? limits.max_sockets - kOwnSockets
                             : limits.max_sockets / 2;
  return {.memory_bytes = limits.memory_bytes > own_bytes + least
                              ? limits.memory_bytes - own_bytes
                              : least,
          .max_clients = std::max<size_t>(sockets / kSocketsPerClient, 1)};
}

size_t CallBytes(const MachineLimits& limits) {
  return limits.memory_bytes / kOwnShare;
}

bool FitsAlone(const BudgetOptions& options, size_t bytes) {
  const size_t held = bytes + options.connection_bytes;
  return held <= Ceiling(options, held);
}

ClientBudget::Client& ClientBudget::ClientOf(ClientId id) {
  const auto found = clients_.find(id);
  WS_INVARIANT(found != clients_.end()) << "only open clients are counted";
  return found->second;
}

bool ClientBudget::IsEvictable(const Client& client,
                               size_t to_bytes,
                               common::Time now) const {
  const bool stalled = now - client.since >= options_.stall_time;
  switch (client.phase) {
    case Phase::kReceiving:
      return stalled || client.bytes > to_bytes;
    case Phase::kWaiting:
    case Phase::kSending:
      return stalled;
    case Phase::kRunning:
      return false;
  }
  return false;
}

std::vector<ClientId> ClientBudget::FreeMemory(ClientId id,
                                               size_t needed,
                                               size_t bytes,
                                               common::Time now) {
  std::vector<std::pair<size_t, ClientId>> candidates;
  size_t available = 0;
  for (const auto& [other, client] : clients_) {
    if (other != id && client.bytes > options_.connection_bytes &&
        IsEvictable(client, bytes, now)) {
      const size_t beyond_connection = client.bytes - options_.connection_bytes;
      candidates.emplace_back(beyond_connection, other);
      available += beyond_connection;
    }
  }
  std::vector<ClientId> evicted;
  if (available < needed) {
    return evicted;
  }
  std::sort(candidates.rbegin(), candidates.rend());
  size_t freed = 0;
  for (const auto& [held, other] : candidates) {
    if (freed >= needed) {
      break;
    }
    freed += held;
    SetHeld(held_bytes_ - held);
    clients_.at(other).bytes = options_.connection_bytes;
    evicted.push_back(other);
  }
  return evicted;
}

std::optional<ClientId> ClientBudget::LongestWaiting(common::Time now) const {
  // Connections without a request first, then the rest by their age.
  std::optional<ClientId> found;
  std::tuple<bool, common::Time> found_rank;
  for (const auto& [id, client] : clients_) {
    const bool can_close = client.phase == Phase::kWaiting ||
                           client.phase == Phase::kReceiving ||
                           IsEvictable(client, client.bytes, now);
    const std::tuple rank{client.phase != Phase::kWaiting, client.since};
    if (can_close && (!found.has_value() || rank < found_rank)) {
      found = id;
      found_rank = rank;
    }
  }
  return found;
}

bool ClientBudget::HasRoomForClient() const {
  return clients_.size() < options_.max_clients &&
         held_bytes_ + options_.connection_bytes <= options_.memory_bytes;
}

Verdict ClientBudget::Open(ClientId id, common::Time now) {
  Verdict verdict;
  while (!HasRoomForClient()) {
    const auto longest = LongestWaiting(now);
    if (!longest.has_value()) {
      return verdict;
    }
    Close(*longest);
    verdict.evicted.push_back(*longest);
  }
  clients_[id] = {.bytes = options_.connection_bytes, .since = now};
  held_bytes_ += options_.connection_bytes;
  verdict.granted = true;
  return verdict;
}

Verdict ClientBudget::Resize(ClientId id, size_t bytes, common::Time now) {
  Client& client = ClientOf(id);
  Verdict verdict{.granted = true};
  if (bytes > client.bytes) {
    const size_t after = held_bytes_ - client.bytes + bytes;
    const size_t ceiling = Ceiling(options_, bytes);
    if (after > ceiling) {
      verdict.evicted = FreeMemory(id, after - ceiling, bytes, now);
      verdict.granted = !verdict.evicted.empty();
    }
  }
  if (verdict.granted) {
    SetHeld(held_bytes_ - client.bytes + bytes);
    client.bytes = bytes;
  }
  return verdict;
}

bool ClientBudget::ResizeOptional(ClientId id, size_t bytes) {
  Client& client = ClientOf(id);
  const size_t after = held_bytes_ - client.bytes + bytes;
  if (after > options_.memory_bytes / 2) {
    return false;
  }
  SetHeld(after);
  client.bytes = bytes;
  return true;
}

void ClientBudget::SetHeld(size_t bytes) {
  if (bytes < held_bytes_) {
    freed_bytes_ += held_bytes_ - bytes;
  }
  held_bytes_ = bytes;
}

bool ClientBudget::ShouldTrim() {
  if (freed_bytes_ < options_.memory_bytes / kFreedShare) {
    return false;
  }
  freed_bytes_ = 0;
  return true;
}

void ClientBudget::SetPhase(ClientId id, Phase phase, common::Time now) {
  Client& client = ClientOf(id);
  client.phase = phase;
  client.since = now;
}

void ClientBudget::Close(ClientId id) {
  const auto found = clients_.find(id);
  if (found == clients_.end()) {
    return;
  }
  SetHeld(held_bytes_ - found->second.bytes);
  clients_.erase(found);
}

}  // namespace wagtailshore::client_budget
