#ifndef COORDINATION_RETRY_WINDOW_RESERVE_SHARE_H_
#define COORDINATION_RETRY_WINDOW_RESERVE_SHARE_H_

#include <cstddef>
#include <optional>

#include "common/time.h"

namespace wagtailshore::retry_window {

struct ReserveShareOptions {
  // Retries in a window that all processes together may take from the reserve.
  double reserve = 0;
  common::Duration window = common::seconds(10);
};

// Divides the reserve of the retry budget among the processes, each of which
// registers in a table and counts the entries there. The shares in use never
// add up to more than the reserve, without any further coordination:
//
// - A process has a share only two windows after its registration. In the
//   first, all others count it; in the second, what they took before expires.
// - A count is valid for one window from its request, so it covers every
//   process that has a share.
//
// Without a valid count the share is 0.
class ReserveShare {
 public:
  explicit ReserveShare(ReserveShareOptions options) : options_(options) {}

  // The own entry has been written at `now`.
  void OnRegistered(common::Time now) { registered_at_ = now; }
  // The own entry may be gone, as the table went back to an older copy.
  void OnTableRestored() {
    registered_at_.reset();
    processes_ = 0;
  }
  // The table, read by a request at `requested_at`, has this many processes.
  void OnCounted(size_t processes, common::Time requested_at);

  // Returns the number of retries in a window that this process may take.
  double At(common::Time now) const;

 private:
  ReserveShareOptions options_;
  std::optional<common::Time> registered_at_;
  size_t processes_ = 0;
  common::Time counted_at_{};
};

}  // namespace wagtailshore::retry_window

#endif  // COORDINATION_RETRY_WINDOW_RESERVE_SHARE_H_
