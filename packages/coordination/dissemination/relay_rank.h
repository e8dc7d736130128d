#ifndef COORDINATION_DISSEMINATION_RELAY_RANK_H_
#define COORDINATION_DISSEMINATION_RELAY_RANK_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace wagtailshore::dissemination {

// Orders the members of a failure domain by rendezvous hash: every process
// that sees the same members names the same relay, and a member that goes
// moves no other's place. Caches the weights, which never change.
class RelayRank {
 public:
  // The `count` heaviest of `addresses` in `failure_domain`, heaviest first.
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
