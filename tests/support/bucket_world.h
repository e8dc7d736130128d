#ifndef SUPPORT_BUCKET_WORLD_H_
#define SUPPORT_BUCKET_WORLD_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "coordination/bucket_leases/bucket_owner.h"
#include "coordination/bucket_leases/entry_call.h"
#include "support/call_world.h"

namespace wagtailshore::test_support {

struct BucketWorldOptions {
  CallWorldOptions calls;
  int buckets = 12;
  common::Duration lease = std::chrono::minutes(15);
  common::Duration drift_bound = common::seconds(9);
  // Clocks run up to this share too fast or too slow.
  double clock_error = 0.004;
};

// Runs the bucket leases' decision code. Each process's clock runs at its own
// rate; owners tell the entries once a second what they own.
class BucketWorld final : public CallWorld {
 public:
  explicit BucketWorld(const BucketWorldOptions& options);
  ~BucketWorld() override;
  BucketWorld(const BucketWorld&) = delete;
  BucketWorld& operator=(const BucketWorld&) = delete;

  // Buckets that `endpoint` owns now, and those of them that are barred.
  int OwnedBy(int endpoint);
  int BarredAt(int endpoint);

 protected:
  void StartSending(int entry, size_t sending) override;
  void OnEndpointStarted(int endpoint) override;

 private:
  struct EndpointState;
  struct EntryRun;
  struct Exchange;

  // A bucket's owner as an entry knows it.
  struct KnownOwner {
    int endpoint = 0;
    uint64_t incarnation = 0;
    uint64_t epoch = 0;
  };

  common::Time LocalTime(int endpoint) const;
  std::string ProcessName(int endpoint);
  void Tick(int endpoint);
  void Announce(int endpoint);
  void Perform(int endpoint,
               int bucket,
               const bucket_leases::OwnerActions& actions);
  void Reply(int endpoint, const bucket_leases::Reply& reply);
  void Step(const std::shared_ptr<EntryRun>& run,
            const bucket_leases::EntryAction& action);
  void SendToOwner(const std::shared_ptr<EntryRun>& run);
  void End(const std::shared_ptr<Exchange>& exchange,
           const claims::DispatchOutcome& outcome);

  BucketWorldOptions options_;
  std::vector<std::unique_ptr<EndpointState>> endpoint_states_;
  // By entry, then by bucket.
  std::vector<std::map<int, KnownOwner>> known_owners_;
  // Exchanges that wait for an endpoint's word, by sending.
  std::map<std::string, std::vector<std::shared_ptr<Exchange>>> exchanges_;
};

}  // namespace wagtailshore::test_support

#endif  // SUPPORT_BUCKET_WORLD_H_
