#ifndef COMMON_INVARIANT_H_
#define COMMON_INVARIANT_H_

#include <glog/logging.h>

// Stops the process when a promise of the system would be broken. Stays on in
// release builds: serving on with a broken promise is worse than a restart.
// Further text can be streamed into it.
#define WS_INVARIANT(condition) CHECK(condition) << "invariant violated: "

#endif  // COMMON_INVARIANT_H_
