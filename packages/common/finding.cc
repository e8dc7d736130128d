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

std::string SummaryOf(const Findings& findings) {
  constexpr size_t kMaxListed = 5;
  std::string text;
  for (size_t i = 0; i < findings.size() && i < kMaxListed; ++i) {
    common::StrAppend(&text, i == 0 ? "" : "; ", findings[i].place, ": ",
                      findings[i].message);
  }
  if (findings.size() > kMaxListed) {
    common::StrAppend(&text, "; and ", findings.size() - kMaxListed, " more");
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
