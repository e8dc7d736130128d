#ifndef COMMON_INVARIANT_H_
#define COMMON_INVARIANT_H_

#include <glog/logging.h>

// Aborts the process if an invariant does not hold. Also active in release
// builds: continuing with a violated invariant is worse than a restart. More
// text can be added with operator<<.
#define WS_INVARIANT(condition) CHECK(condition) << "invariant violated: "

#endif  // COMMON_INVARIANT_H_
