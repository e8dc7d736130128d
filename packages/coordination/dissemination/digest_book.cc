#include "coordination/dissemination/digest_book.h"

#include <algorithm>

namespace wagtailshore::dissemination {
namespace {

// An endpoint not heard for this long is left out.
constexpr common::Duration kEndpointHorizon = common::seconds(10);
// A digest older than this tells nothing any more.
constexpr common::Duration kDigestHorizon = common::seconds(30);
// A change is passed on first for this long.
constexpr common::Duration kChangeHorizon = common::seconds(3);
constexpr size_t kMaxPassedOn = 4;

}  // namespace

bool DigestBook::Take(const DomainDigest& digest, common::Time now) {
  const common::Time as_of = now - digest.age;
  Known& known = known_[digest.failure_domain];
  if (as_of <= known.as_of) {
    return false;
  }
  const bool changed = digest.leaving != known.digest.leaving;
  if (changed) {
    known.changed = now;
  }
  known.digest = digest;
  known.as_of = as_of;
  return changed;
}

DomainDigest DigestBook::Summarise(const std::string& failure_domain,
                                   const membership::PeerTable& peers,
                                   common::Time now) {
  DomainDigest digest{.failure_domain = failure_domain};
  for (const auto& [address, peer] : peers.peers()) {
    if (peer.info.role != membership::Role::kEndpoint ||
        peer.info.failure_domain != failure_domain ||
        now - peer.last_heard > kEndpointHorizon) {
      continue;
    }
    ++digest.endpoints;
    if (peer.info.leaving) {
      digest.leaving.push_back(peer.info.name);
    }
  }
  return digest;
}

std::vector<DomainDigest> DigestBook::ToPassOn(common::Time now) {
  std::vector<Known*> order;
  for (auto& [failure_domain, known] : known_) {
    if (now - known.as_of <= kDigestHorizon) {
      order.push_back(&known);
    }
  }
  const auto sooner = [now](const Known* left, const Known* right) {
    const bool left_new = now - left->changed <= kChangeHorizon;
    const bool right_new = now - right->changed <= kChangeHorizon;
    return left_new != right_new ? left_new
                                 : left->passed_on < right->passed_on;
  };
  const size_t count = std::min(order.size(), kMaxPassedOn);
  std::partial_sort(order.begin(),
                    order.begin() + static_cast<ptrdiff_t>(count), order.end(),
                    sooner);
  std::vector<DomainDigest> digests;
  for (size_t i = 0; i < count; ++i) {
    order[i]->passed_on = now;
    digests.push_back(order[i]->digest);
    digests.back().age = now - order[i]->as_of;
  }
  return digests;
}

std::vector<DomainDigest> DigestBook::All(common::Time now) const {
  std::vector<DomainDigest> digests;
  for (const auto& [failure_domain, known] : known_) {
    if (now - known.as_of <= kDigestHorizon) {
      digests.push_back(known.digest);
      digests.back().age = now - known.as_of;
    }
  }
  return digests;
}

}  // namespace wagtailshore::dissemination
