#ifndef DAEMON_ENDPOINT_ENDPOINT_H_
#define DAEMON_ENDPOINT_ENDPOINT_H_

#include <memory>

#include "absl/status/statusor.h"
#include "daemon/settings/settings.h"

namespace wagtailshore::endpoint {

// The endpoint role: the only process that gives the engine or service beside
// it orders and calls.
class Endpoint {
 public:
  static absl::StatusOr<std::unique_ptr<Endpoint>> Start(
      const settings::Settings& settings);
  ~Endpoint();
  Endpoint(const Endpoint&) = delete;
  Endpoint& operator=(const Endpoint&) = delete;

  // Refuses new work from now on, tells the entries, and returns when
  // everything in flight has ended.
  void Drain();

 private:
  class Impl;
  explicit Endpoint(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace wagtailshore::endpoint

#endif  // DAEMON_ENDPOINT_ENDPOINT_H_
