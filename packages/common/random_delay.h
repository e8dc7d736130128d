#ifndef COMMON_RANDOM_DELAY_H_
#define COMMON_RANDOM_DELAY_H_

#include <random>

#include "common/time.h"

namespace wagtailshore::common {

// Random delays between two bounds, so that processes that failed together do
// not retry together.
class RandomDelay {
 public:
  RandomDelay(Duration min, Duration max)
      : range_(min.count(), max.count()), random_(std::random_device{}()) {}

  Duration Next() { return Duration(range_(random_)); }

 private:
  std::uniform_int_distribution<Duration::rep> range_;
  std::minstd_rand random_;
};

}  // namespace wagtailshore::common

#endif  // COMMON_RANDOM_DELAY_H_
