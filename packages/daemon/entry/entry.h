#ifndef DAEMON_ENTRY_ENTRY_H_
#define DAEMON_ENTRY_ENTRY_H_

#include <memory>

#include "absl/status/statusor.h"
#include "daemon/settings/settings.h"

namespace wagtailshore::entry {

// The entry role: takes callers' requests and has endpoints serve them.
class Entry {
 public:
  static absl::StatusOr<std::unique_ptr<Entry>> Start(
      const settings::Settings& settings);
  ~Entry();
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  // Returns when everything in flight has ended. Requests are still taken for
  // the drain notice, so that the balancer can turn away first.
  void Drain();

 private:
  class Impl;
  explicit Entry(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace wagtailshore::entry

#endif  // DAEMON_ENTRY_ENTRY_H_
