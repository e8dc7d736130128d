#ifndef DAEMON_NODE_PLATFORM_WATCH_H_
#define DAEMON_NODE_PLATFORM_WATCH_H_

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "common/time.h"
#include "coordination/rollout/manifest_holder.h"
#include "transport/platform_client/platform_client.h"

namespace wagtailshore::node {

struct PlatformWatchOptions {
  const platform_client::PlatformClient* platform = nullptr;
  // Returns the manifest version in force in this process. Called on the
  // watch's thread.
  std::function<uint64_t()> current_version;
  // A newer manifest was read. Called on the watch's thread.
  std::function<void(std::shared_ptr<const rollout::VersionedManifest>)>
      on_manifest;
  // The instance list was read. Called on the watch's thread.
  std::function<void(const std::vector<platform_client::Instance>&)>
      on_instances;
  // A poll ended; the argument says whether the platform answered. Called on
  // the watch's thread.
  std::function<void(bool)> on_polled;
};

// Polls the platform's manifest row and instance list on request, on its own
// thread, so that a slow platform delays nothing else.
class PlatformWatch {
 public:
  explicit PlatformWatch(PlatformWatchOptions options);
  ~PlatformWatch();
  PlatformWatch(const PlatformWatch&) = delete;
  PlatformWatch& operator=(const PlatformWatch&) = delete;

  // Requests a poll. Requests made during a poll are merged into one more poll.
  void RequestPoll();

 private:
  void Run();
  // Waits until a poll is requested. Returns false when the watch is destroyed.
  bool WaitForPollRequest();
  // Return whether the platform answered.
  bool PollManifest();
  bool PollInstances();
  // Logs an event when the availability has changed.
  void UpdateAvailability(bool available);

  PlatformWatchOptions options_;
  bool available_ = true;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool poll_requested_ = false;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace wagtailshore::node

#endif  // DAEMON_NODE_PLATFORM_WATCH_H_
