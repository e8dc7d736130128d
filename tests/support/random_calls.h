#ifndef SUPPORT_RANDOM_CALLS_H_
#define SUPPORT_RANDOM_CALLS_H_

#include <cstdint>
#include <random>

#include "support/call_world.h"

namespace wagtailshore::test_support {

// Returns the message fault rates of a randomised run.
FaultRates AllFaults();

// Drives a CallWorld with callers that resubmit their keys through random
// entries, and with random faults of processes, connections and the table.
class RandomCalls {
 public:
  // Whether endpoints are killed or drained before they are replaced.
  enum class Endpoints { kDie, kDrain };

  RandomCalls(CallWorld& world,
              uint64_t seed,
              Endpoints endpoints = Endpoints::kDie)
      : world_(world), random_(seed), endpoints_(endpoints) {}

  // Runs for `time` with faults, then clears all faults and runs until every
  // request has reached its deadline.
  void Run(common::Duration time);

 private:
  int Number(int below);
  common::Duration Milliseconds(int low, int high);
  void InjectFault();
  void InjectProcessFault();
  void ReplaceEndpoint(int endpoint);
  void NewRequest();
  void SendAgain(const CallKey& key, int submissions_left);
  void HealAll();

  CallWorld& world_;
  std::mt19937_64 random_;
  Endpoints endpoints_;
  int next_key_ = 0;
};

}  // namespace wagtailshore::test_support

#endif  // SUPPORT_RANDOM_CALLS_H_
