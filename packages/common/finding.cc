#include "common/finding.h"

#include "common/strings.h"

namespace wagtailshore::common {

std::string FormatFindings(const Findings& findings) {
  std::string text;
  for (const Finding& finding : findings) {
    common::StrAppend(&text, finding.place, ": ", finding.message, "\n");
  }
  return text;
}

absl::Status ToStatus(const Findings& findings) {
  if (findings.empty()) {
    return absl::OkStatus();
  }
  return absl::InvalidArgumentError(FormatFindings(findings));
}

}  // namespace wagtailshore::common
