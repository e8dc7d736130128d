#ifndef COMMON_FINDING_H_
#define COMMON_FINDING_H_

#include <string>
#include <vector>

#include "absl/status/status.h"

// Errors found in an input, each with its place, collected so that all of them
// are reported together.
namespace wagtailshore::common {

struct Finding {
  // Where the error is: a flag, an environment variable or a JSON pointer.
  std::string place;
  std::string message;

  bool operator==(const Finding&) const = default;
};

using Findings = std::vector<Finding>;

// Returns one line per finding, "place: message".
std::string FormatFindings(const Findings& findings);

// Returns the first findings on one line, and the number of the others, for the
// log.
std::string SummaryOf(const Findings& findings);

// Returns OK if there are no findings, else InvalidArgument with all of them in
// its message.
absl::Status ToStatus(const Findings& findings);

}  // namespace wagtailshore::common

#endif  // COMMON_FINDING_H_
