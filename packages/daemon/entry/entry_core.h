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

// The control state of an entry process. Only on the control thread.
struct EntryCore {
  explicit EntryCore(routing::RouterOptions options)
      : router(std::move(options)) {}

  routing::Router router;
  // By customer.
  std::map<std::string, limits::TokenBucket> buckets;
  retry_budget::RetryBudget retries{{}};
  quarantine::Quarantine quarantine{{}};
  // Of the manifest in force.
  manifest::CustomerIndex customers;
  metrics::Metrics metrics;
  uint64_t next_request = 1;
};

}  // namespace wagtailshore::entry

#endif  // DAEMON_ENTRY_ENTRY_CORE_H_
