#ifndef COORDINATION_DISSEMINATION_DIGEST_BOOK_H_
#define COORDINATION_DISSEMINATION_DIGEST_BOOK_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/time.h"
#include "coordination/membership/peer_table.h"

namespace wagtailshore::dissemination {

// What a relay tells of its failure domain's endpoints.
struct DomainDigest {
  std::string failure_domain;
  // Endpoints heard lately.
  uint32_t endpoints = 0;
  // Names of those that are leaving.
  std::vector<std::string> leaving;
  // Time since the relay put it together.
  common::Duration age{};
};

// The digests of all failure domains that this process knows, the newest of
// each. Pure.
class DigestBook {
 public:
  // Takes the digest if it is newer than the one known; returns whether other
  // endpoints are leaving now.
  bool Take(const DomainDigest& digest, common::Time now);
  // The digest of `failure_domain` from what its endpoints said.
  static DomainDigest Summarise(const std::string& failure_domain,
                                const membership::PeerTable& peers,
                                common::Time now);
  // A few digests to pass on, with those that changed lately first and the
  // others in turn.
  std::vector<DomainDigest> ToPassOn(common::Time now);
  // All digests that are not too old.
  std::vector<DomainDigest> All(common::Time now) const;

 private:
  struct Known {
    DomainDigest digest;
    common::Time as_of{};
    common::Time changed{};
    common::Time passed_on{};
  };
  // Keyed by failure domain.
  std::map<std::string, Known> known_;
};

}  // namespace wagtailshore::dissemination

#endif  // COORDINATION_DISSEMINATION_DIGEST_BOOK_H_
