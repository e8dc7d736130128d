#ifndef COORDINATION_LIMIT_SHARES_LIMIT_SHARE_H_
#define COORDINATION_LIMIT_SHARES_LIMIT_SHARE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "common/time.h"

// Divides each customer's limit, which applies to the whole system, into
// shares. A fixed part of the limit belongs to each failure domain, so that a
// domain that is partitioned keeps it. Within a domain, every entry always has
// a small floor, and one issuer lends the rest to the entries, by demand, for a
// limited time. Shares lent in a lost message or to a stopped entry expire and
// can then be lent again, so the sum in use never exceeds the limit.
namespace wagtailshore::limit_shares {

struct ShareOptions {
  // Most entries that the failure domain may have.
  uint32_t max_entries = 64;
  // Fraction of the domain's limit that is reserved for the floors.
  double floor_fraction = 0.2;
  // How long a lent share may be used.
  common::Duration lifetime = common::seconds(10);
  // Largest relative difference between the rates of two clocks.
  double clock_drift = 0.01;
};

// A customer's rate at one entry, in requests per second.
struct CustomerRate {
  std::string customer;
  double per_second = 0;
};

// An entry reports its demand.
struct ShareRequest {
  std::string entry;
  // Increases with each request of the entry.
  uint64_t sequence = 0;
  std::vector<CustomerRate> demand;
};

// The shares that the issuer lends in answer to a request.
struct ShareGrant {
  // That of the request.
  uint64_t sequence = 0;
  std::vector<CustomerRate> lent;
};

// The share that every entry of the domain has at all times, in requests per
// second.
inline double FloorOf(double domain_limit, const ShareOptions& options) {
  return domain_limit * options.floor_fraction / options.max_entries;
}

}  // namespace wagtailshore::limit_shares

#endif  // COORDINATION_LIMIT_SHARES_LIMIT_SHARE_H_
