#ifndef COORDINATION_MEMBERSHIP_LEAVING_VIEW_H_
#define COORDINATION_MEMBERSHIP_LEAVING_VIEW_H_

#include <map>
#include <set>
#include <string>

#include "common/time.h"

namespace wagtailshore::membership {

// Tracks which endpoints are leaving, as known to one entry from three sources:
// the endpoints' own reports, the digests of other failure domains, and the
// platform's instance list, which lags. The newer of report and digest decides.
// An unexpired report also overrides the list, which may still describe the
// previous process.
class LeavingView {
 public:
  // Records an endpoint's own report.
  void OnEndpointReport(const std::string& endpoint,
                        const std::string& failure_domain,
                        bool leaving,
                        common::Time now);
  // Records the leaving endpoints of `failure_domain` from its digest, which
  // was made at `as_of`.
  void OnDigest(const std::string& failure_domain,
                std::set<std::string> leaving,
                common::Time as_of);
  // Records the leaving endpoints according to the instance list.
  void OnInstanceList(std::set<std::string> leaving);

  // Returns the names of all leaving endpoints.
  std::set<std::string> Leaving(common::Time now) const;

 private:
  struct Digest {
    std::set<std::string> leaving;
    common::Time as_of{};
  };
  struct Report {
    std::string failure_domain;
    bool leaving = false;
    common::Time received_at{};
  };
  std::map<std::string, Report> reports_;
  // Whether the digest of the report's failure domain is newer than the report.
  bool IsOutdated(const Report& report) const;

  std::map<std::string, Digest> digests_;
  std::set<std::string> listed_as_leaving_;
};

}  // namespace wagtailshore::membership

#endif  // COORDINATION_MEMBERSHIP_LEAVING_VIEW_H_
