#include "coordination/dissemination/digest_book.h"

#include <algorithm>

namespace wagtailshore::dissemination {
namespace {

// Endpoints from which nothing was received for longer than this are left out.
constexpr common::Duration kEndpointExpiry = common::seconds(10);
// Digests older than this are ignored.
constexpr common::Duration kDigestExpiry = common::seconds(30);
// How long a changed digest is forwarded before unchanged ones.
constexpr common::Duration kChangePriorityPeriod = common::seconds(3);
constexpr size_t kMaxForwarded = 4;

}  // namespace

bool DigestTable::Update(const DomainDigest& digest, common::Time now) {
  const common::Time as_of = now - digest.age;
  Record& record = records_[digest.failure_domain];
  if (as_of <= record.as_of) {
    return false;
  }
  const bool changed = digest.leaving != record.digest.leaving;
  if (changed) {
    record.changed_at = now;
  }
  record.digest = digest;
  record.as_of = as_of;
  return changed;
}

DomainDigest DigestTable::Summarise(const std::string& failure_domain,
                                    const membership::PeerTable& peers,
                                    common::Time now) {
  DomainDigest digest{.failure_domain = failure_domain};
  for (const auto& [address, peer] : peers.peers()) {
    if (peer.info.role != membership::Role::kEndpoint ||
        peer.info.failure_domain != failure_domain ||
        now - peer.last_seen > kEndpointExpiry) {
      continue;
    }
    ++digest.endpoints;
    if (peer.info.leaving) {
      digest.leaving.push_back(peer.info.name);
    }
  }
  return digest;
}

std::vector<DomainDigest> DigestTable::SelectToForward(common::Time now) {
  std::vector<Record*> candidates;
  for (auto& [failure_domain, record] : records_) {
    if (now - record.as_of <= kDigestExpiry) {
      candidates.push_back(&record);
    }
  }
  const auto goes_before = [now](const Record* left, const Record* right) {
    const bool left_changed = now - left->changed_at <= kChangePriorityPeriod;
    const bool right_changed = now - right->changed_at <= kChangePriorityPeriod;
    return left_changed != right_changed
               ? left_changed
               : left->forwarded_at < right->forwarded_at;
  };
  const size_t count = std::min(candidates.size(), kMaxForwarded);
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<ptrdiff_t>(count),
                    candidates.end(), goes_before);
  std::vector<DomainDigest> digests;
  for (size_t i = 0; i < count; ++i) {
    candidates[i]->forwarded_at = now;
    digests.push_back(candidates[i]->digest);
    digests.back().age = now - candidates[i]->as_of;
  }
  return digests;
}

std::vector<DomainDigest> DigestTable::All(common::Time now) const {
  std::vector<DomainDigest> digests;
  for (const auto& [failure_domain, record] : records_) {
    if (now - record.as_of <= kDigestExpiry) {
      digests.push_back(record.digest);
      digests.back().age = now - record.as_of;
    }
  }
  return digests;
}

}  // namespace wagtailshore::dissemination
