#ifndef TRANSPORT_PLATFORM_CLIENT_PLATFORM_CLIENT_H_
#define TRANSPORT_PLATFORM_CLIENT_PLATFORM_CLIENT_H_

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "common/time.h"
#include "state/table/table.h"

// Client for the platform's table, object store and instance list over HTTP.
// Calls block, so they are made from traffic and worker threads, never from the
// control thread.
namespace wagtailshore::platform_client {

// One entry of the platform's instance list. The list can lag behind the actual
// state.
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
  // Limit on each call.
  common::Duration timeout = common::seconds(1);
};

class PlatformClient {
 public:
  explicit PlatformClient(PlatformOptions options);

  table::ReadOutcome Read(const table::ReadRow& request) const;
  table::WriteOutcome Write(const table::WriteRow& request) const;
  // As above, but limited to `timeout` when that is shorter than the timeout in
  // the options.
  table::ReadOutcome Read(const table::ReadRow& request,
                          common::Duration timeout) const;
  table::WriteOutcome Write(const table::WriteRow& request,
                            common::Duration timeout) const;

  // Both return Unavailable when there is no response or its status is not 200.
  absl::Status PutObject(const std::string& name, std::string body) const;
  absl::StatusOr<std::string> GetObject(const std::string& name) const;

  // Returns the same errors, and DataLoss when the list cannot be parsed.
  absl::StatusOr<std::vector<Instance>> ListInstances() const;

 private:
  PlatformOptions options_;
};

}  // namespace wagtailshore::platform_client

#endif  // TRANSPORT_PLATFORM_CLIENT_PLATFORM_CLIENT_H_
