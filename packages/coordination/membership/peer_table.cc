#include "coordination/membership/peer_table.h"

namespace wagtailshore::membership {

PeerChange PeerTable::OnPeerInfo(const PeerInfo& info, common::Time now) {
  Peer& peer = peers_[info.peer_address];
  const bool same_process = peer.info.incarnation == info.incarnation;
  PeerChange change;
  change.restarted = !same_process && !peer.info.incarnation.empty();
  const bool was_leaving = same_process && peer.info.leaving;
  change.began_leaving = info.leaving && !was_leaving;
  if (peer.info.manifest_version != info.manifest_version) {
    peer.version_since = now;
  }
  peer.info = info;
  peer.info.leaving = info.leaving || was_leaving;
  peer.last_seen = now;
  peer.unanswered = 0;
  return change;
}

uint32_t PeerTable::OnUnanswered(const std::string& address) {
  const auto found = peers_.find(address);
  if (found == peers_.end()) {
    return 0;
  }
  return ++found->second.unanswered;
}

void PeerTable::AddSeeds(const std::vector<std::string>& addresses) {
  seeds_.insert(addresses.begin(), addresses.end());
}

void PeerTable::Expire(common::Time now, common::Duration max_age) {
  std::erase_if(peers_, [&](const auto& item) {
    return now - item.second.last_seen > max_age;
  });
}

}  // namespace wagtailshore::membership
