#ifndef COORDINATION_LIMIT_SHARES_LIMIT_SHARE_H_
#define COORDINATION_LIMIT_SHARES_LIMIT_SHARE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "common/time.h"

// Holds each customer's limit, which is one for the whole system, as shares.
// A part of the limit belongs to each failure domain for good, so that a domain
// that is cut off keeps it. In a domain, every entry always has a small floor,
// and one issuer lends the rest for a time, by demand. Shares that a lost
// message or a stopped entry holds come back when their time has passed, so the
// sum in use never exceeds the limit.
namespace wagtailshore::limit_shares {

struct ShareOptions {
  // Entries that the failure domain may have at most.
  uint32_t max_entries = 64;
  // Part of the domain's limit that is kept for the floors.
  double floor_part = 0.2;
  // How long a lent share may be used.
  common::Duration lifetime = common::seconds(10);
  // Bound of the difference between two clocks' speeds.
  double clock_drift = 0.01;
};

// What a customer's rate is, or should be, at one entry.
struct CustomerRate {
  std::string customer;
  double per_second = 0;
};

// An entry tells its demand.
struct ShareRequest {
  std::string entry;
  // Rises with each request of the entry.
  uint64_t sequence = 0;
  std::vector<CustomerRate> demand;
};

// The issuer lends shares in answer to a request.
struct ShareGrant {
  uint64_t sequence = 0;
  std::vector<CustomerRate> lent;
};

// The share that every entry of the domain has at all times.
inline double FloorOf(double domain_limit, const ShareOptions& options) {
  return domain_limit * options.floor_part / options.max_entries;
}

}  // namespace wagtailshore::limit_shares

#endif  // COORDINATION_LIMIT_SHARES_LIMIT_SHARE_H_
