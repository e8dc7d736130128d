#ifndef SUPPORT_CLAIM_WORLD_H_
#define SUPPORT_CLAIM_WORLD_H_

#include <memory>

#include "coordination/claims/endpoint_claim.h"
#include "coordination/claims/entry_claim.h"
#include "support/call_world.h"

namespace wagtailshore::test_support {

// Simulates claims with the production decision code. Every request has a row
// in the table.
class ClaimWorld final : public CallWorld {
 public:
  explicit ClaimWorld(const CallWorldOptions& options)
      : CallWorld(options), max_attempts_(options.max_attempts) {}

 protected:
  void StartSubmission(int entry, size_t submission) override;
  void OnEndpointStarted(int) override {}

 private:
  struct EntryRun;
  struct EndpointRun;
  struct Exchange;

  void Step(const std::shared_ptr<EntryRun>& run,
            const claims::EntryAction& action);
  void Dispatch(const std::shared_ptr<EntryRun>& run,
                const claims::SendDispatch& send);
  void OnDispatch(const std::shared_ptr<Exchange>& exchange,
                  const claims::Dispatch& dispatch,
                  common::Time deadline);
  void Reply(const std::shared_ptr<EndpointRun>& run,
             const claims::EndpointAction& action);
  void Step(const std::shared_ptr<EndpointRun>& run,
            const claims::EndpointAction& action);
  // Ends an attempt and passes its outcome to the entry. Ignores all outcomes
  // after the first.
  void End(const std::shared_ptr<Exchange>& exchange,
           const claims::DispatchOutcome& outcome);

  uint32_t max_attempts_;
};

}  // namespace wagtailshore::test_support

#endif  // SUPPORT_CLAIM_WORLD_H_
