#ifndef SUPPORT_TEST_ADDRESS_H_
#define SUPPORT_TEST_ADDRESS_H_

#include <unistd.h>

#include <string>

#include "common/strings.h"

namespace wagtailshore::test_support {

// Returns a loopback address with this port that is derived from the process
// id, so that concurrent test programs do not conflict.
inline std::string TestAddress(int port) {
  constexpr int kNumbers = 254;
  const int pid = getpid();
  return common::StrCat("127.", 64 + pid / kNumbers / kNumbers % 64, ".",
                        pid / kNumbers % kNumbers + 1, ".", pid % kNumbers + 1,
                        ":", port);
}

}  // namespace wagtailshore::test_support

#endif  // SUPPORT_TEST_ADDRESS_H_
