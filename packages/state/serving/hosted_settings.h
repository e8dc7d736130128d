#ifndef STATE_SERVING_HOSTED_SETTINGS_H_
#define STATE_SERVING_HOSTED_SETTINGS_H_

#include <cstdint>
#include <string>

#include "common/time.h"

namespace wagtailshore::serving {

// What a process on a hosting platform is told about itself.
struct HostedSettings {
  std::string name;
  std::string failure_domain;
  std::string ip;
  // "IP:port" for callers, for the balancer's readiness probe, and of the
  // platform's store.
  std::string caller_address;
  std::string ready_address;
  std::string store_address;
  // "IP:port" of the engine on this instance; empty without one.
  std::string engine_address;
  // Service that the engine belongs to.
  std::string engine_service;
  // Where processes of the system reach each other.
  uint16_t peer_port = 0;
  // How long after its removal a key may still be accepted.
  common::Duration revocation_bound = common::seconds(5);
  // How long after the store heard of it a draining endpoint may get work.
  common::Duration drain_bound = common::seconds(2);
  // From the stop signal to the kill.
  common::Duration stop_grace = common::seconds(8);
  // Budget of further attempts over all processes.
  double retry_ratio = 0.2;
  double retry_allowance = 0;
  common::Duration retry_window = common::seconds(10);
};

}  // namespace wagtailshore::serving

#endif  // STATE_SERVING_HOSTED_SETTINGS_H_
