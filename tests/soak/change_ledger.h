#ifndef SOAK_CHANGE_LEDGER_H_
#define SOAK_CHANGE_LEDGER_H_

#include <map>
#include <optional>
#include <vector>

#include "common/time.h"

namespace wagtailshore::soak {

struct ChangeLedgerOptions {
  // Time within which a confirmed configuration is in force.
  common::Duration apply_bound = common::seconds(2);
  // Time after a disturbance for which a gateway is excused.
  common::Duration stability_window = common::seconds(3);
};

// Knows which versions of the configuration each gateway must have in force.
class ChangeLedger {
 public:
  explicit ChangeLedger(ChangeLedgerOptions options) : options_(options) {}

  void OnConfirmed(int version, common::Time now);
  // The gateway's path to the store, or the process, was disturbed until `now`.
  void OnDisturbed(int gateway, common::Time now);

  // The newest version that the gateway must have in force; nullopt while it is
  // excused or there is none.
  std::optional<int> DueVersion(int gateway, common::Time now) const;

 private:
  struct Change {
    int version = 0;
    common::Time confirmed_at{};
  };

  ChangeLedgerOptions options_;
  // In order.
  std::vector<Change> changes_;
  std::map<int, common::Time> disturbed_at_;
};

}  // namespace wagtailshore::soak

#endif  // SOAK_CHANGE_LEDGER_H_
