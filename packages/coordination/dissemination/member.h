#ifndef COORDINATION_DISSEMINATION_MEMBER_H_
#define COORDINATION_DISSEMINATION_MEMBER_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/time.h"
#include "coordination/dissemination/digest_book.h"
#include "coordination/dissemination/planner.h"
#include "coordination/membership/peer_table.h"
#include "coordination/rollout/manifest_holder.h"

namespace wagtailshore::dissemination {

using ManifestPtr = std::shared_ptr<const rollout::VersionedManifest>;

// A process's word to another one, request and reply alike.
struct Message {
  membership::PeerInfo info;
  // Set when the receiver is known to hold an older one.
  ManifestPtr manifest;
  // Peer addresses of some entries that the sender heard lately.
  std::vector<std::string> entries;
  // Of the sender's failure domain, or of others that it passes on.
  std::vector<DomainDigest> domains;
};

// What came of an event.
struct Effects {
  // To be carried out by the caller.
  Actions actions;
  // A newer manifest came into force here.
  bool new_manifest = false;
  // What a message told about its sender.
  membership::PeerChange change;
};

// One process's part in spreading manifests and membership: holds the
// manifest in force and the peers, and turns events into actions. Pure: the
// caller does the I/O and reports what came of it.
class Member {
 public:
  Member(membership::PeerInfo info, PlannerOptions options);

  // Called every kTickPeriod.
  Effects OnTick(common::Time now);
  // A peer's request.
  Effects OnRequest(const Message& message, common::Time now);
  // `sent` is when the exchange that the reply answers was sent.
  Effects OnReply(const Message& message, common::Time sent, common::Time now);
  // An exchange with `address` got no answer; returns how many in a row.
  uint32_t OnUnanswered(const std::string& address);
  // A manifest read from the platform, or accepted by it here.
  Effects OnAccepted(ManifestPtr manifest, common::Time now);
  // A ReadPlatform ended; `answered` tells whether the platform did.
  void OnPlatformRead(bool answered);
  Effects AnnounceLeaving(common::Time now);

  // The word for a SendExchange.
  Message MessageFor(const SendExchange& send, common::Time now);
  // The word in reply to `request`, after OnRequest().
  Message ReplyTo(const Message& request, common::Time now);

  bool IsRelay(common::Time now);
  const membership::PeerInfo& info() const { return info_; }
  const rollout::ManifestHolder& manifests() const { return manifests_; }
  // Of the failure domains whose endpoints are not heard directly.
  std::vector<DomainDigest> Digests(common::Time now) const;
  membership::PeerTable& peers() { return peers_; }
  const membership::PeerTable& peers() const { return peers_; }

 private:
  Situation SituationAt(common::Time now) const;
  Effects Learn(const Message& message, common::Time now);
  // Puts `offered` in force if it is newer.
  void Offer(ManifestPtr offered,
             Source source,
             common::Time now,
             Effects& effects);
  // A message to a process of this role and failure domain, which may be
  // unknown.
  Message WordFor(const membership::PeerInfo* receiver, common::Time now);
  void AddDigests(const membership::PeerInfo& receiver,
                  Message& message,
                  common::Time now);

  membership::PeerInfo info_;
  // When the process began to leave, if it did.
  common::Time leaving_since_{};
  Planner planner_;
  rollout::ManifestHolder manifests_;
  membership::PeerTable peers_;
  DigestBook digests_;
  // Failure domains of the manifest's endpoints, by peer address.
  std::map<std::string, std::string> endpoints_;
};

}  // namespace wagtailshore::dissemination

#endif  // COORDINATION_DISSEMINATION_MEMBER_H_
