#ifndef DAEMON_ENDPOINT_ENDPOINT_H_
#define DAEMON_ENDPOINT_ENDPOINT_H_

#include <memory>

#include "absl/status/statusor.h"
#include "daemon/settings/settings.h"

namespace wagtailshore::endpoint {

// The endpoint role: the only process that sends requests to its engine or
// service.
class Endpoint {
 public:
  static absl::StatusOr<std::unique_ptr<Endpoint>> Start(
      const settings::Settings& settings);
  ~Endpoint();
  Endpoint(const Endpoint&) = delete;
  Endpoint& operator=(const Endpoint&) = delete;

  // Refuses new attempts from now on, announces to the entries that this
  // process leaves, and returns when all attempts in flight have ended.
  void Drain();

 private:
  class Impl;
  explicit Endpoint(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace wagtailshore::endpoint

#endif  // DAEMON_ENDPOINT_ENDPOINT_H_
