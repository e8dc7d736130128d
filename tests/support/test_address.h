#ifndef SUPPORT_TEST_ADDRESS_H_
#define SUPPORT_TEST_ADDRESS_H_

#include <unistd.h>

#include <string>

#include "common/strings.h"

namespace wagtailshore::test_support {

// A loopback address with this port that no other test process uses, so that
// test programs can run side by side.
inline std::string TestAddress(int port) {
  constexpr int kNumbers = 254;
  const int pid = getpid();
  return common::StrCat("127.", 64 + pid / kNumbers / kNumbers % 64, ".",
                        pid / kNumbers % kNumbers + 1, ".", pid % kNumbers + 1,
                        ":", port);
}

}  // namespace wagtailshore::test_support

#endif  // SUPPORT_TEST_ADDRESS_H_
