#ifndef COORDINATION_LIMIT_SHARES_SHARE_HOLDER_H_
#define COORDINATION_LIMIT_SHARES_SHARE_HOLDER_H_

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "coordination/limit_shares/limit_share.h"

namespace wagtailshore::limit_shares {

// The entry's side: measures demand, requests shares from the issuer, and
// returns the rate that the entry may use now.
class ShareHolder {
 public:
  ShareHolder(std::string entry, ShareOptions options)
      : entry_(std::move(entry)), options_(options) {}

  // A request of the customer arrived, whether or not it is admitted.
  void OnArrival(const std::string& customer);
  // Returns the request for shares. Called once per period; removes customers
  // that have neither demand nor a share from the state.
  ShareRequest MakeRequest(common::Time now);
  void OnGrant(const ShareGrant& grant, common::Time now);

  // The rate that this entry may admit, in requests per second. `domain_limit`
  // is the failure domain's part of the customer's limit, in the same unit.
  double RateOf(const std::string& customer,
                double domain_limit,
                common::Time now) const;

  size_t tracked() const { return customers_.size(); }

 private:
  struct State {
    uint32_t arrivals = 0;
    // Exponentially smoothed, in requests per second.
    double demand = 0;
    // In requests per second.
    double lent = 0;
    common::Time lent_until{};
  };
  struct PendingRequest {
    uint64_t sequence = 0;
    common::Time at;
  };

  std::string entry_;
  ShareOptions options_;
  std::map<std::string, State> customers_;
  // Requests that have not been answered yet, oldest first.
  std::deque<PendingRequest> pending_requests_;
  uint64_t next_sequence_ = 1;
  std::optional<common::Time> last_request_at_;
};

}  // namespace wagtailshore::limit_shares

#endif  // COORDINATION_LIMIT_SHARES_SHARE_HOLDER_H_
