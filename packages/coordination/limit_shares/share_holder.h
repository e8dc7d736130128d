#ifndef COORDINATION_LIMIT_SHARES_SHARE_HOLDER_H_
#define COORDINATION_LIMIT_SHARES_SHARE_HOLDER_H_

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "coordination/limit_shares/limit_share.h"

namespace wagtailshore::limit_shares {

// An entry's side: counts demand, asks the issuer, and tells the rate that may
// be used now.
class ShareHolder {
 public:
  ShareHolder(std::string entry, ShareOptions options)
      : entry_(std::move(entry)), options_(options) {}

  // A request of the customer arrived, whether or not it was let through.
  void OnArrival(const std::string& customer);
  // Called once per period; names only customers with demand or a share.
  ShareRequest MakeRequest(common::Time now);
  void OnGrant(const ShareGrant& grant, common::Time now);

  // Requests a second that this entry may let through. `domain_limit` is the
  // failure domain's part of the customer's limit.
  double RateOf(const std::string& customer,
                double domain_limit,
                common::Time now) const;

  size_t tracked() const { return customers_.size(); }

 private:
  struct State {
    uint32_t arrivals = 0;
    // Smoothed, in requests a second.
    double demand = 0;
    double lent = 0;
    common::Time lent_until{};
  };
  struct Sent {
    uint64_t sequence = 0;
    common::Time at;
  };

  std::string entry_;
  ShareOptions options_;
  std::map<std::string, State> customers_;
  // Requests without an answer so far, oldest first.
  std::deque<Sent> sent_;
  uint64_t next_sequence_ = 1;
  std::optional<common::Time> last_request_;
};

}  // namespace wagtailshore::limit_shares

#endif  // COORDINATION_LIMIT_SHARES_SHARE_HOLDER_H_
