#ifndef COORDINATION_DISSEMINATION_DIGEST_BOOK_H_
#define COORDINATION_DISSEMINATION_DIGEST_BOOK_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/time.h"
#include "coordination/membership/peer_table.h"

namespace wagtailshore::dissemination {

// Summary of a failure domain's endpoints, exchanged between failure domains.
struct DomainDigest {
  std::string failure_domain;
  // Number of endpoints from which a message was received recently.
  uint32_t endpoints = 0;
  // Names of those that are leaving.
  std::vector<std::string> leaving;
  // Time since the digest was made.
  common::Duration age{};
};

// The newest known digest of each failure domain. Does no I/O.
class DigestTable {
 public:
  // Stores the digest if it is newer than the known one. Returns whether the
  // set of leaving endpoints changed.
  bool Update(const DomainDigest& digest, common::Time now);
  // Returns the digest of `failure_domain` according to its endpoints'
  // messages.
  static DomainDigest Summarise(const std::string& failure_domain,
                                const membership::PeerTable& peers,
                                common::Time now);
  // Returns a few digests to forward: recently changed ones first, then those
  // that were forwarded longest ago.
  std::vector<DomainDigest> SelectToForward(common::Time now);
  // Returns all digests that have not expired.
  std::vector<DomainDigest> All(common::Time now) const;

 private:
  struct Record {
    DomainDigest digest;
    common::Time as_of{};
    common::Time changed_at{};
    common::Time forwarded_at{};
  };
  // Keyed by failure domain.
  std::map<std::string, Record> records_;
};

}  // namespace wagtailshore::dissemination

#endif  // COORDINATION_DISSEMINATION_DIGEST_BOOK_H_
