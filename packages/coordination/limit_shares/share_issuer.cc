#include "coordination/limit_shares/share_issuer.h"

#include <algorithm>

#include "common/invariant.h"

namespace wagtailshore::limit_shares {
namespace {

// Rounding of sums of shares.
constexpr double kTolerance = 1e-9;

}  // namespace

common::Duration ShareIssuer::LoanTime() const {
  return std::chrono::duration_cast<common::Duration>(
      options_.lifetime * (1 + 2 * options_.clock_drift));
}

void ShareIssuer::BeginTerm(common::Time now) {
  customers_.clear();
  lends_from_ = now + LoanTime();
}

ShareGrant ShareIssuer::OnRequest(const ShareRequest& request,
                                  common::Time now) {
  ShareGrant grant{.sequence = request.sequence};
  if (now < lends_from_) {
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

double ShareIssuer::InUse(const Borrower& borrower, common::Time now) {
  double most = 0;
  for (const Loan& loan : borrower.loans) {
    if (loan.until > now) {
      most = std::max(most, loan.per_second);
    }
  }
  return most;
}

// Each borrower gets its demand, or an equal split of what the smaller ones
// leave; what nobody demands is split evenly.
double ShareIssuer::Fair(const Borrowers& borrowers,
                         const Borrower& asking,
                         double pool,
                         common::Time now) const {
  std::vector<double> demands;
  for (const auto& [entry, borrower] : borrowers) {
    if (now - borrower.heard_at < options_.lifetime) {
      demands.push_back(borrower.demand);
    }
  }
  std::sort(demands.begin(), demands.end());
  double left = pool;
  size_t count = demands.size();
  for (const double demand : demands) {
    const double equal = left / static_cast<double>(count);
    if (demand > equal) {
      return std::min(asking.demand, equal);
    }
    left -= demand;
    --count;
  }
  return asking.demand + left / static_cast<double>(demands.size());
}

double ShareIssuer::Lend(const std::string& customer,
                         const std::string& entry,
                         double demand,
                         common::Time now) {
  Borrowers& borrowers = customers_[customer];
  Borrower& asking = borrowers[entry];
  asking.demand = demand;
  asking.heard_at = now;
  for (auto& [name, borrower] : borrowers) {
    std::erase_if(borrower.loans,
                  [now](const Loan& loan) { return loan.until <= now; });
  }
  std::erase_if(borrowers, [&entry](const auto& item) {
    return item.second.loans.empty() && item.first != entry;
  });
  const double pool = domain_limit_(customer) * (1 - options_.floor_part);
  double lent_to_others = 0;
  for (const auto& [name, borrower] : borrowers) {
    lent_to_others += name == entry ? 0 : InUse(borrower, now);
  }
  const double free = std::max(0.0, pool - lent_to_others);
  const double lent = std::min(Fair(borrowers, asking, pool, now), free);
  asking.loans.push_back({.per_second = lent, .until = now + LoanTime()});
  WS_INVARIANT(lent_to_others + lent <=
               std::max(pool, lent_to_others) + kTolerance)
      << "no more is lent than there is";
  return lent;
}

}  // namespace wagtailshore::limit_shares
