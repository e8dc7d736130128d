#ifndef COORDINATION_LIMIT_SHARES_SHARE_ISSUER_H_
#define COORDINATION_LIMIT_SHARES_SHARE_ISSUER_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "coordination/limit_shares/limit_share.h"

namespace wagtailshore::limit_shares {

// Lends the shares of one failure domain. At most one issuer per domain may be
// active at a time; a lease determines which.
class ShareIssuer {
 public:
  // `domain_limit` returns the domain's part of a customer's limit, in requests
  // per second.
  ShareIssuer(ShareOptions options,
              std::function<double(const std::string&)> domain_limit)
      : options_(options), domain_limit_(std::move(domain_limit)) {}

  // This process has become the issuer. It lends nothing until all shares that
  // an earlier issuer lent have expired.
  void BeginTerm(common::Time now);
  ShareGrant OnRequest(const ShareRequest& request, common::Time now);

 private:
  struct Loan {
    double per_second = 0;
    common::Time until;
  };
  struct Borrower {
    double demand = 0;
    common::Time last_request_at{};
    // Any of these may be in use, as a grant can be lost or late.
    std::vector<Loan> loans;
  };
  using Borrowers = std::map<std::string, Borrower>;

  // How long the issuer counts a loan as in use: the lifetime, plus a margin
  // for clock drift.
  common::Duration LoanDuration() const;
  // The highest rate that the borrower may be using.
  static double MaxInUse(const Borrower& borrower, common::Time now);
  double FairShare(const Borrowers& borrowers,
                   const Borrower& requester,
                   double pool,
                   common::Time now) const;
  double Lend(const std::string& customer,
              const std::string& entry,
              double demand,
              common::Time now);

  ShareOptions options_;
  std::function<double(const std::string&)> domain_limit_;
  common::Time lending_starts_at_{};
  std::map<std::string, Borrowers> customers_;
};

}  // namespace wagtailshore::limit_shares

#endif  // COORDINATION_LIMIT_SHARES_SHARE_ISSUER_H_
