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
  // Largest relative clock rate error: each clock runs up to this fraction too
  // fast or too slow.
  double clock_error = 0.004;
};

// Simulates bucket leases with the production decision code. Each endpoint
// clock runs at its own rate. Endpoints announce the buckets that they own to
// the entries once per second.
class BucketWorld final : public CallWorld {
 public:
  explicit BucketWorld(const BucketWorldOptions& options);
  ~BucketWorld() override;
  BucketWorld(const BucketWorld&) = delete;
  BucketWorld& operator=(const BucketWorld&) = delete;

  // Returns the number of buckets that `endpoint` owns now.
  int OwnedBy(int endpoint);
  // Returns the number of those buckets that are barred.
  int BarredAt(int endpoint);

 protected:
  void StartSubmission(int entry, size_t submission) override;
  void OnEndpointStarted(int endpoint) override;

 private:
  struct EndpointState;
  struct EntryRun;
  struct Exchange;

  // The last owner of a bucket that was announced to an entry.
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
  // Exchanges that wait for a reply from an endpoint, by submission.
  std::map<std::string, std::vector<std::shared_ptr<Exchange>>> exchanges_;
};

}  // namespace wagtailshore::test_support

#endif  // SUPPORT_BUCKET_WORLD_H_
