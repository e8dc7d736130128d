#ifndef COMMON_TIME_H_
#define COMMON_TIME_H_

#include <chrono>

// The time types of all modules. Code that makes decisions receives the current
// time as an argument and never reads the clock, so that tests can use virtual
// time.
namespace wagtailshore::common {

// Monotonic: adjustments of the wall clock must not affect leases and timeouts.
using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Duration = Clock::duration;

using std::chrono::milliseconds;
using std::chrono::seconds;

// Returns `duration` in whole milliseconds, rounded towards zero.
constexpr int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

}  // namespace wagtailshore::common

#endif  // COMMON_TIME_H_
