#include "coordination/draining/drain_gate.h"

#include "common/invariant.h"

namespace wagtailshore::draining {

bool DrainGate::TryBegin() {
  if (draining_) {
    return false;
  }
  ++in_flight_;
  return true;
}

void DrainGate::End() {
  WS_INVARIANT(in_flight_ > 0) << "each piece of work ends once";
  --in_flight_;
}

}  // namespace wagtailshore::draining
