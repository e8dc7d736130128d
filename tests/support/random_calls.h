#ifndef SUPPORT_RANDOM_CALLS_H_
#define SUPPORT_RANDOM_CALLS_H_

#include <cstdint>
#include <random>

#include "support/call_world.h"

namespace wagtailshore::test_support {

// The faults that a randomised run draws from.
FaultRates AllFaults();

// Drives a world with callers who repeat their keys through other entries, and
// with processes, links and the table failing at random.
class RandomCalls {
 public:
  // Whether endpoint processes die, or are drained before they are replaced.
  enum class Endpoints { kDie, kDrain };

  RandomCalls(CallWorld& world,
              uint64_t seed,
              Endpoints endpoints = Endpoints::kDie)
      : world_(world), dice_(seed), endpoints_(endpoints) {}

  // Runs for `time` with faults, then heals everything and lets every request
  // reach its deadline.
  void Run(common::Duration time);

 private:
  int Number(int below);
  common::Duration Milliseconds(int low, int high);
  void Disturb();
  void DisturbProcess();
  void ReplaceEndpoint(int endpoint);
  void NewRequest();
  void SendAgain(const CallKey& key, int sendings_left);
  void HealAll();

  CallWorld& world_;
  std::mt19937_64 dice_;
  Endpoints endpoints_;
  int next_key_ = 0;
};

}  // namespace wagtailshore::test_support

#endif  // SUPPORT_RANDOM_CALLS_H_
