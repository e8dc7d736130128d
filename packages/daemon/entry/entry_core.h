#ifndef DAEMON_ENTRY_ENTRY_CORE_H_
#define DAEMON_ENTRY_ENTRY_CORE_H_

#include <map>
#include <string>
#include <utility>

#include "coordination/quarantine/quarantine.h"
#include "coordination/retry_budget/retry_budget.h"
#include "state/limits/token_bucket.h"
#include "state/manifest/customer_index.h"
#include "state/metrics/metrics.h"
#include "state/routing/router.h"

namespace wagtailshore::entry {

// The state of an entry process that only its control thread accesses.
struct EntryCore {
  explicit EntryCore(routing::RouterOptions options)
      : router(std::move(options)) {}

  routing::Router router;
  // Rate limits, by customer name.
  std::map<std::string, limits::TokenBucket> limit_buckets;
  retry_budget::RetryBudget retry_budget{{}};
  quarantine::Quarantine quarantine{{}};
  // Customers of the manifest in force.
  manifest::CustomerIndex customers;
  metrics::Metrics metrics;
  uint64_t next_request = 1;
};

}  // namespace wagtailshore::entry

#endif  // DAEMON_ENTRY_ENTRY_CORE_H_
