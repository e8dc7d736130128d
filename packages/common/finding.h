#ifndef COMMON_FINDING_H_
#define COMMON_FINDING_H_

#include <string>
#include <vector>

#include "absl/status/status.h"

// Faults found in an input, collected with their place so that the reader gets
// all of them in one report.
namespace wagtailshore::common {

struct Finding {
  // A flag, an environment variable or a JSON pointer.
  std::string place;
  std::string message;

  bool operator==(const Finding&) const = default;
};

using Findings = std::vector<Finding>;

// One line per finding, "place: message".
std::string FormatFindings(const Findings& findings);

// OK without findings; else InvalidArgument carrying all of them.
absl::Status ToStatus(const Findings& findings);

}  // namespace wagtailshore::common

#endif  // COMMON_FINDING_H_
