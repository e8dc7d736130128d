#ifndef COORDINATION_LIMIT_SHARES_SHARE_ISSUER_H_
#define COORDINATION_LIMIT_SHARES_SHARE_ISSUER_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "coordination/limit_shares/limit_share.h"

namespace wagtailshore::limit_shares {

// Lends the shares of one failure domain. There must be one issuer per domain
// at a time; who it is, a lease decides.
class ShareIssuer {
 public:
  // `domain_limit` gives the domain's part of a customer's limit.
  ShareIssuer(ShareOptions options,
              std::function<double(const std::string&)> domain_limit)
      : options_(options), domain_limit_(std::move(domain_limit)) {}

  // This process has become the issuer. It lends nothing until whatever an
  // earlier one lent has run out.
  void BeginTerm(common::Time now);
  ShareGrant OnRequest(const ShareRequest& request, common::Time now);

 private:
  struct Loan {
    double per_second = 0;
    common::Time until;
  };
  struct Borrower {
    double demand = 0;
    common::Time heard_at{};
    // Any of these may be in use: an answer can be lost or late.
    std::vector<Loan> loans;
  };
  using Borrowers = std::map<std::string, Borrower>;

  common::Duration LoanTime() const;
  // The most that the borrower can be using.
  static double InUse(const Borrower& borrower, common::Time now);
  double Fair(const Borrowers& borrowers,
              const Borrower& asking,
              double pool,
              common::Time now) const;
  double Lend(const std::string& customer,
              const std::string& entry,
              double demand,
              common::Time now);

  ShareOptions options_;
  std::function<double(const std::string&)> domain_limit_;
  common::Time lends_from_{};
  std::map<std::string, Borrowers> customers_;
};

}  // namespace wagtailshore::limit_shares

#endif  // COORDINATION_LIMIT_SHARES_SHARE_ISSUER_H_
