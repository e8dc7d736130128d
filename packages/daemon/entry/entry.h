#ifndef DAEMON_ENTRY_ENTRY_H_
#define DAEMON_ENTRY_ENTRY_H_

#include <memory>

#include "absl/status/statusor.h"
#include "daemon/settings/settings.h"

namespace wagtailshore::entry {

// The entry role: accepts callers' requests and forwards them to endpoints.
class Entry {
 public:
  static absl::StatusOr<std::unique_ptr<Entry>> Start(
      const settings::Settings& settings);
  ~Entry();
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  // Announces that this process leaves, still accepts requests for the drain
  // notice so that the load balancer in front can stop sending, then refuses
  // new requests and returns when all requests in flight have ended.
  void Drain();

 private:
  class Impl;
  explicit Entry(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace wagtailshore::entry

#endif  // DAEMON_ENTRY_ENTRY_H_
