#ifndef CROWD_CLIENT_CROWD_H_
#define CROWD_CLIENT_CROWD_H_

#include <memory>
#include <string>
#include <vector>

#include "transport/event_loop/event_loop.h"

// Clients that nobody controls, many at once.
namespace wagtailshore::crowd {

// What a client sends before it falls silent and keeps its connection open.
struct Transmission {
  std::string prefix;
  // Sent `repeats` times after the prefix.
  std::string unit;
  size_t repeats = 0;
  std::string suffix;
  // Sends one more byte each `kTricklePeriod` afterwards.
  bool trickles = false;
  // Whether the client reads what the server sends.
  bool reads = true;
};

inline constexpr common::Duration kTricklePeriod = common::milliseconds(200);

// Many connections to one server, each of which sends its transmission as fast
// as the server takes it.
class ClientCrowd {
 public:
  // Client number i sends transmission number i modulo their number.
  // `address` is "IP:port".
  ClientCrowd(event_loop::EventLoop& loop,
              const std::string& address,
              int clients,
              const std::vector<Transmission>& transmissions);
  ~ClientCrowd();
  ClientCrowd(const ClientCrowd&) = delete;
  ClientCrowd& operator=(const ClientCrowd&) = delete;

  // Whether each client has sent everything or lost its connection.
  bool sent() const;
  // Number of clients whose connection is open.
  size_t connected() const;

 private:
  class Client;

  std::vector<std::unique_ptr<Client>> clients_;
};

}  // namespace wagtailshore::crowd

#endif  // CROWD_CLIENT_CROWD_H_
