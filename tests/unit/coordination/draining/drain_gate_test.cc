#include "coordination/draining/drain_gate.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wagtailshore::draining {
namespace {

RC_GTEST_PROP(DrainGateProperty, LetsNothingBeginAndCutsNothingOff, ()) {
  DrainGate gate;
  uint64_t in_flight = 0;
  bool draining = false;
  const int steps = *rc::gen::inRange(0, 100);
  for (int i = 0; i < steps; ++i) {
    const int step = *rc::gen::inRange(0, 20);
    if (step == 0) {
      gate.StartDraining();
      draining = true;
    } else if (step < 11) {
      const bool begun = gate.TryBegin();
      RC_ASSERT(begun == !draining);
      in_flight += begun ? 1 : 0;
    } else if (in_flight > 0) {
      gate.End();
      --in_flight;
    }
    RC_ASSERT(gate.in_flight() == in_flight);
    RC_ASSERT(gate.drained() == (draining && in_flight == 0));
  }
}

}  // namespace
}  // namespace wagtailshore::draining
