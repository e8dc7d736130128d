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

// Performs a claim's table operation and returns the claim's next action;
// nothing when `action` is no table operation.
std::optional<claims::EndpointAction> OnTable(
    const platform_client::PlatformClient& platform,
    claims::EndpointClaim& claim,
    const claims::EndpointAction& action);

// Records outcomes that could not be recorded while the table was away. What
// it holds is lost with the process; the rows then say that the calls started.
class Settler {
 public:
  explicit Settler(const platform_client::PlatformClient& platform);
  // Tries each once more.
  ~Settler();
  Settler(const Settler&) = delete;
  Settler& operator=(const Settler&) = delete;

  // Takes over a claim that has answered its entry. Any thread.
  void Add(claims::EndpointClaim claim);

 private:
  void Run();
  // Keeps in `claims` those that could not be settled.
  void SettleEach(std::vector<claims::EndpointClaim>& claims);

  const platform_client::PlatformClient& platform_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::vector<claims::EndpointClaim> added_;
  // Claims here and in the thread's hands.
  size_t held_ = 0;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace wagtailshore::endpoint

#endif  // DAEMON_ENDPOINT_SETTLER_H_
