#ifndef COORDINATION_DRAINING_DRAIN_GATE_H_
#define COORDINATION_DRAINING_DRAIN_GATE_H_

#include <cstdint>

// Counts the work in flight in this process and determines when a graceful
// shutdown may stop the process.
namespace wagtailshore::draining {

class DrainGate {
 public:
  // Whether new work may begin; if so, it counts as in flight until End() is
  // called.
  [[nodiscard]] bool TryBegin();
  void End();

  // Refuses new work from now on; cannot be undone.
  void StartDraining() { draining_ = true; }

  bool draining() const { return draining_; }
  // Whether the process can stop without interrupting any work.
  bool drained() const { return draining_ && in_flight_ == 0; }
  uint64_t in_flight() const { return in_flight_; }

 private:
  bool draining_ = false;
  uint64_t in_flight_ = 0;
};

}  // namespace wagtailshore::draining

#endif  // COORDINATION_DRAINING_DRAIN_GATE_H_
