#ifndef SUPPORT_LOCKSTEP_ENGINE_H_
#define SUPPORT_LOCKSTEP_ENGINE_H_

#include <optional>

#include "coordination/map_switch/engine_state.h"

// A fake of one rank's engine in a lock-step group, limited to map switches.
namespace wagtailshore::standins {

class LockstepEngine {
 public:
  // Without `checks_fencing` the engine executes orders with outdated fencing
  // numbers too.
  explicit LockstepEngine(bool checks_fencing)
      : checks_fencing_(checks_fencing) {}

  // Executes the order, unless its fencing number is outdated, and returns the
  // resulting state.
  const map_switch::EngineState& Apply(const map_switch::Order& order);
  // Ends all loads in progress, as loaded or as failed.
  void EndLoads(bool loaded);

  // Whether the next step waits for a decision.
  bool held() const;
  // Starts the next step and returns the map that it uses. Must not be called
  // while held() is true.
  map_switch::MapId StartStep();

  const map_switch::EngineState& state() const { return state_; }

 private:
  void Execute(const map_switch::Order& order);
  void Place(const map_switch::PlaceHold& order, uint64_t fencing_number);
  void RaiseRefusedBelow(const map_switch::Ballot& bound,
                         uint64_t fencing_number);
  void Drop(const map_switch::Ballot& ballot, uint64_t fencing_number);

  bool checks_fencing_;
  map_switch::EngineState state_;
};

}  // namespace wagtailshore::standins

#endif  // SUPPORT_LOCKSTEP_ENGINE_H_
