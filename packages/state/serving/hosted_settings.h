#ifndef STATE_SERVING_HOSTED_SETTINGS_H_
#define STATE_SERVING_HOSTED_SETTINGS_H_

#include <cstdint>
#include <string>

#include "common/time.h"

namespace wagtailshore::serving {

// Settings that a hosting platform passes to a process.
struct HostedSettings {
  std::string name;
  std::string failure_domain;
  std::string ip;
  // "IP:port" that callers connect to, that the load balancer's readiness probe
  // connects to, and of the platform's store.
  std::string caller_address;
  std::string ready_address;
  std::string store_address;
  // "IP:port" of the engine on this instance; empty without one.
  std::string engine_address;
  // Service that the engine belongs to.
  std::string engine_service;
  // Port for connections between processes of the system.
  uint16_t peer_port = 0;
  // Memory of the machine in bytes, and sockets that the process may have open;
  // 0 if the platform does not say.
  size_t memory_bytes = 0;
  size_t max_sockets = 0;
  // Maximum time that a removed key may still be accepted.
  common::Duration revocation_bound = common::seconds(5);
  // Maximum time that a draining endpoint may get new work after the store has
  // recorded the draining.
  common::Duration drain_bound = common::seconds(2);
  // How often an endpoint renews its entry in the platform's list. The entry of
  // one that ended is removed after three such times.
  common::Duration endpoint_heartbeat = common::milliseconds(1200);
  // Time between the stop signal and the kill.
  common::Duration stop_grace = common::seconds(8);
  // Retry budget of all processes together.
  double retry_ratio = 0.2;
  double retry_allowance = 0;
  common::Duration retry_window = common::seconds(10);
};

}  // namespace wagtailshore::serving

#endif  // STATE_SERVING_HOSTED_SETTINGS_H_
