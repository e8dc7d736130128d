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
  common::Duration period = common::seconds(1);
  // Version in force here; called on the watch's thread.
  std::function<uint64_t()> current_version;
  // A newer manifest was read; called on the watch's thread.
  std::function<void(std::shared_ptr<const rollout::VersionedManifest>)>
      on_manifest;
  // The instance list was read; called on the watch's thread.
  std::function<void(const std::vector<platform_client::Instance>&)>
      on_instances;
};

// Looks at the platform's manifest row and instance list from a thread of its
// own, so that a slow platform holds up nothing else.
class PlatformWatch {
 public:
  explicit PlatformWatch(PlatformWatchOptions options);
  ~PlatformWatch();
  PlatformWatch(const PlatformWatch&) = delete;
  PlatformWatch& operator=(const PlatformWatch&) = delete;

 private:
  void Run();
  // Waits for one period; false when the watch ends.
  bool WaitForNextLook();
  bool LookForManifest();
  bool LookForInstances();
  void NoteAvailability(bool available);

  PlatformWatchOptions options_;
  bool available_ = true;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace wagtailshore::node

#endif  // DAEMON_NODE_PLATFORM_WATCH_H_
