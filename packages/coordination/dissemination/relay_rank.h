#ifndef COORDINATION_DISSEMINATION_RELAY_RANK_H_
#define COORDINATION_DISSEMINATION_RELAY_RANK_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace wagtailshore::dissemination {

// Ranks the members of a failure domain by rendezvous hash: all processes that
// know the same members choose the same relay, and the removal of a member does
// not change the order of the others. Caches the weights, which never change.
class RelayRank {
 public:
  // Returns the `count` addresses with the highest weights in `failure_domain`,
  // in descending order.
  std::vector<std::string> Top(const std::string& failure_domain,
                               std::vector<std::string> addresses,
                               size_t count);

 private:
  uint64_t Weight(const std::string& failure_domain,
                  const std::string& address);

  std::unordered_map<std::string, uint64_t> weights_;
};

}  // namespace wagtailshore::dissemination

#endif  // COORDINATION_DISSEMINATION_RELAY_RANK_H_
