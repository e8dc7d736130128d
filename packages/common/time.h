#ifndef COMMON_TIME_H_
#define COMMON_TIME_H_

#include <chrono>

// The time types of every module. Decision code receives the current time as
// an argument and never reads a clock, so that tests can drive it with a
// virtual one.
namespace wagtailshore::common {

// Monotonic: leases and timeouts must not move when wall time is adjusted.
using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Duration = Clock::duration;

using std::chrono::milliseconds;
using std::chrono::seconds;

// Whole milliseconds in `duration`, rounded down.
constexpr int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

}  // namespace wagtailshore::common

#endif  // COMMON_TIME_H_
