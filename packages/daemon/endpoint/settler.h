#ifndef DAEMON_ENDPOINT_SETTLER_H_
#define DAEMON_ENDPOINT_SETTLER_H_

#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include "coordination/claims/endpoint_claim.h"
#include "transport/platform_client/platform_client.h"

namespace wagtailshore::endpoint {

// Performs a claim's table operation and returns the claim's next action, or
// nothing when `action` is not a table operation.
std::optional<claims::EndpointAction> PerformTableAction(
    const platform_client::PlatformClient& platform,
    claims::EndpointClaim& claim,
    const claims::EndpointAction& action);

// Records the outcomes of calls that could not be recorded while the table was
// unavailable. Outcomes not yet recorded are lost when the process ends; their
// rows then still say that the calls have started.
class Settler {
 public:
  explicit Settler(const platform_client::PlatformClient& platform);
  // Tries to record each remaining outcome once more.
  ~Settler();
  Settler(const Settler&) = delete;
  Settler& operator=(const Settler&) = delete;

  // Adds a claim whose entry has received its answer. Does nothing when the
  // outcome is already recorded; logs and drops the claim when too many are
  // pending. May be called on any thread.
  void Add(claims::EndpointClaim claim);

 private:
  void Run();
  // Tries to settle all `claims` and keeps those that could not be settled.
  void SettleAll(std::vector<claims::EndpointClaim>& claims);

  const platform_client::PlatformClient& platform_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::vector<claims::EndpointClaim> added_;
  // Claims in `added_` and those that the thread is settling.
  size_t pending_count_ = 0;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace wagtailshore::endpoint

#endif  // DAEMON_ENDPOINT_SETTLER_H_
