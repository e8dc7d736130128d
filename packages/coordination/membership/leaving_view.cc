#include "coordination/membership/leaving_view.h"

#include <utility>

namespace wagtailshore::membership {
namespace {

// Reports older than this are ignored.
constexpr common::Duration kReportExpiry = common::seconds(60);

}  // namespace

void LeavingView::OnEndpointReport(const std::string& endpoint,
                                   const std::string& failure_domain,
                                   bool leaving,
                                   common::Time now) {
  reports_[endpoint] = {
      .failure_domain = failure_domain, .leaving = leaving, .received_at = now};
}

void LeavingView::OnDigest(const std::string& failure_domain,
                           std::set<std::string> leaving,
                           common::Time as_of) {
  digests_[failure_domain] = {.leaving = std::move(leaving), .as_of = as_of};
}

void LeavingView::OnInstanceList(std::set<std::string> leaving) {
  listed_as_leaving_ = std::move(leaving);
}

std::set<std::string> LeavingView::Leaving(common::Time now) const {
  std::set<std::string> leaving = listed_as_leaving_;
  for (const auto& [endpoint, report] : reports_) {
    if (now - report.received_at <= kReportExpiry && !report.leaving) {
      leaving.erase(endpoint);
    }
  }
  for (const auto& [failure_domain, digest] : digests_) {
    leaving.insert(digest.leaving.begin(), digest.leaving.end());
  }
  for (const auto& [endpoint, report] : reports_) {
    if (now - report.received_at > kReportExpiry || IsOutdated(report)) {
      continue;
    }
    if (report.leaving) {
      leaving.insert(endpoint);
    } else {
      leaving.erase(endpoint);
    }
  }
  return leaving;
}

bool LeavingView::IsOutdated(const Report& report) const {
  const auto digest = digests_.find(report.failure_domain);
  return digest != digests_.end() && digest->second.as_of > report.received_at;
}

}  // namespace wagtailshore::membership
