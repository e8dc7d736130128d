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
  // Version in force here; called on the watch's thread.
  std::function<uint64_t()> current_version;
  // A newer manifest was read; called on the watch's thread.
  std::function<void(std::shared_ptr<const rollout::VersionedManifest>)>
      on_manifest;
  // The instance list was read; called on the watch's thread.
  std::function<void(const std::vector<platform_client::Instance>&)>
      on_instances;
  // A look ended; tells whether the platform answered. Called on the watch's
  // thread.
  std::function<void(bool)> on_looked;
};

// Looks at the platform's manifest row and instance list when told to, from a
// thread of its own, so that a slow platform holds up nothing else.
class PlatformWatch {
 public:
  explicit PlatformWatch(PlatformWatchOptions options);
  ~PlatformWatch();
  PlatformWatch(const PlatformWatch&) = delete;
  PlatformWatch& operator=(const PlatformWatch&) = delete;

  // Begins a look, unless one is under way.
  void Look();

 private:
  void Run();
  // Waits until the next look is asked for; false when the watch ends.
  bool WaitForNextLook();
  bool LookForManifest();
  bool LookForInstances();
  void NoteAvailability(bool available);

  PlatformWatchOptions options_;
  bool available_ = true;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool asked_ = false;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace wagtailshore::node

#endif  // DAEMON_NODE_PLATFORM_WATCH_H_
