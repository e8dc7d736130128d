#include "coordination/limit_shares/share_issuer.h"

#include <algorithm>

#include "common/invariant.h"

namespace wagtailshore::limit_shares {
namespace {

// Allows for rounding errors in sums of shares.
constexpr double kTolerance = 1e-9;

}  // namespace

common::Duration ShareIssuer::LoanDuration() const {
  return std::chrono::duration_cast<common::Duration>(
      options_.lifetime * (1 + 2 * options_.clock_drift));
}

void ShareIssuer::BeginTerm(common::Time now) {
  customers_.clear();
  lending_starts_at_ = now + LoanDuration();
}

ShareGrant ShareIssuer::OnRequest(const ShareRequest& request,
                                  common::Time now) {
  ShareGrant grant{.sequence = request.sequence};
  if (now < lending_starts_at_) {
    return grant;
  }
  for (const CustomerRate& demand : request.demand) {
    grant.lent.push_back(
        {.customer = demand.customer,
         .per_second = Lend(demand.customer, request.entry,
                            std::max(0.0, demand.per_second), now)});
  }
  return grant;
}

double ShareIssuer::MaxInUse(const Borrower& borrower, common::Time now) {
  double max_in_use = 0;
  for (const Loan& loan : borrower.loans) {
    if (loan.until > now) {
      max_in_use = std::max(max_in_use, loan.per_second);
    }
  }
  return max_in_use;
}

// Max-min fairness: each borrower gets its demand, or an equal part of what the
// borrowers with smaller demands leave. What is left when all demands are met
// is divided equally.
double ShareIssuer::FairShare(const Borrowers& borrowers,
                              const Borrower& requester,
                              double pool,
                              common::Time now) const {
  std::vector<double> demands;
  for (const auto& [entry, borrower] : borrowers) {
    if (now - borrower.last_request_at < options_.lifetime) {
      demands.push_back(borrower.demand);
    }
  }
  std::sort(demands.begin(), demands.end());
  double left = pool;
  size_t count = demands.size();
  for (const double demand : demands) {
    const double equal = left / static_cast<double>(count);
    if (demand > equal) {
      return std::min(requester.demand, equal);
    }
    left -= demand;
    --count;
  }
  return requester.demand + left / static_cast<double>(demands.size());
}

double ShareIssuer::Lend(const std::string& customer,
                         const std::string& entry,
                         double demand,
                         common::Time now) {
  Borrowers& borrowers = customers_[customer];
  Borrower& requester = borrowers[entry];
  requester.demand = demand;
  requester.last_request_at = now;
  for (auto& [name, borrower] : borrowers) {
    std::erase_if(borrower.loans,
                  [now](const Loan& loan) { return loan.until <= now; });
  }
  std::erase_if(borrowers, [&entry](const auto& item) {
    return item.second.loans.empty() && item.first != entry;
  });
  const double pool = domain_limit_(customer) * (1 - options_.floor_fraction);
  double lent_to_others = 0;
  for (const auto& [name, borrower] : borrowers) {
    lent_to_others += name == entry ? 0 : MaxInUse(borrower, now);
  }
  const double free = std::max(0.0, pool - lent_to_others);
  const double lent =
      std::min(FairShare(borrowers, requester, pool, now), free);
  requester.loans.push_back(
      {.per_second = lent, .until = now + LoanDuration()});
  WS_INVARIANT(lent_to_others + lent <=
               std::max(pool, lent_to_others) + kTolerance)
      << "the loans stay within the pool";
  return lent;
}

}  // namespace wagtailshore::limit_shares
