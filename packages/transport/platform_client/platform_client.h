#ifndef TRANSPORT_PLATFORM_CLIENT_PLATFORM_CLIENT_H_
#define TRANSPORT_PLATFORM_CLIENT_PLATFORM_CLIENT_H_

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "common/time.h"
#include "state/table/table.h"

// The platform's table, object store and instance list over HTTP. Blocking;
// called from traffic and worker threads, never from the control thread.
namespace wagtailshore::platform_client {

// One line of the platform's lagging instance list.
struct Instance {
  std::string name;
  // Address for control messages, "IP:port".
  std::string peer_address;
  std::string failure_domain;
  bool leaving = false;
};

struct PlatformOptions {
  // "http://IP:port"
  std::string url;
  common::Duration timeout = common::seconds(1);
};

class PlatformClient {
 public:
  explicit PlatformClient(PlatformOptions options);

  table::ReadOutcome Read(const table::ReadRow& request) const;
  table::WriteOutcome Write(const table::WriteRow& request) const;
  // As above, with a shorter timeout where `timeout` is less than the usual.
  table::ReadOutcome Read(const table::ReadRow& request,
                          common::Duration timeout) const;
  table::WriteOutcome Write(const table::WriteRow& request,
                            common::Duration timeout) const;

  absl::Status PutObject(const std::string& name, std::string body) const;
  absl::StatusOr<std::string> GetObject(const std::string& name) const;

  absl::StatusOr<std::vector<Instance>> ListInstances() const;

 private:
  PlatformOptions options_;
};

}  // namespace wagtailshore::platform_client

#endif  // TRANSPORT_PLATFORM_CLIENT_PLATFORM_CLIENT_H_
