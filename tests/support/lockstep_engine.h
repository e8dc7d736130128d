#ifndef SUPPORT_LOCKSTEP_ENGINE_H_
#define SUPPORT_LOCKSTEP_ENGINE_H_

#include <optional>

#include "coordination/map_switch/engine_state.h"

// A fake of one rank's engine in a lock-step group, as far as map switches go.
namespace wagtailshore::standins {

class LockstepEngine {
 public:
  // An engine that does not check fencing numbers carries out every order.
  explicit LockstepEngine(bool checks_fencing)
      : checks_fencing_(checks_fencing) {}

  // Carries the order out and returns the state after it.
  const map_switch::EngineState& Apply(const map_switch::Order& order);
  // The experts of a load that is under way have arrived, or have not.
  void EndLoads(bool loaded);

  // Whether the next step waits for a decision.
  bool held() const;
  // Starts the next step and returns the map that it uses. Not while held.
  map_switch::MapId StartStep();

  const map_switch::EngineState& state() const { return state_; }

 private:
  void Carry(const map_switch::Order& order);
  void Place(const map_switch::PlaceHold& order, uint64_t fencing_number);
  void Close(const map_switch::Ballot& bound, uint64_t fencing_number);
  void Drop(const map_switch::Ballot& ballot, uint64_t fencing_number);

  bool checks_fencing_;
  map_switch::EngineState state_;
};

}  // namespace wagtailshore::standins

#endif  // SUPPORT_LOCKSTEP_ENGINE_H_
