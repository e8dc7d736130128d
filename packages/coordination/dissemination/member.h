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

// A control message from one process to another. Requests and replies have the
// same form.
struct Message {
  membership::PeerInfo info;
  // Set if the receiver is known to have an older one.
  ManifestPtr manifest;
  // Peer addresses of some entries that the sender knows.
  std::vector<std::string> entries;
  // The digest of the sender's failure domain, or forwarded ones of others.
  std::vector<DomainDigest> domains;
};

// The results of an event.
struct Effects {
  // To be carried out by the caller.
  Actions actions;
  // Whether a newer manifest came into force here.
  bool new_manifest = false;
  // What changed about the sender of a message.
  membership::PeerChange change;
};

// One process's part in the dissemination of manifests and membership. Holds
// the manifest in force and the peers, and turns events into actions. Does no
// I/O: the caller does it and reports the results.
class Member {
 public:
  Member(membership::PeerInfo info, PlannerOptions options);

  // To be called every kTickPeriod.
  Effects OnTick(common::Time now);
  // Handles a peer's request. ReplyTo() returns the reply.
  Effects OnRequest(const Message& message, common::Time now);
  // Handles a reply. `sent` is when its request was sent.
  Effects OnReply(const Message& message, common::Time sent, common::Time now);
  // Records that an exchange with `address` got no answer. Returns the number
  // of consecutive ones, or 0 for an unknown peer.
  uint32_t OnUnanswered(const std::string& address);
  // Handles a manifest that this process read from the platform, or that the
  // platform accepted from it.
  Effects OnPlatformManifest(ManifestPtr manifest, common::Time now);
  // Handles the end of a ReadPlatform. `answered` is whether the platform
  // answered.
  void OnPlatformRead(bool answered);
  // Marks this process as leaving and informs all known entries.
  Effects AnnounceLeaving(common::Time now);

  // Returns the request for a SendExchange.
  Message MessageFor(const SendExchange& send, common::Time now);
  // Returns the reply to `request`. To be called after OnRequest().
  Message ReplyTo(const Message& request, common::Time now);

  bool IsRelay(common::Time now);
  const membership::PeerInfo& info() const { return info_; }
  const rollout::ManifestHolder& manifests() const { return manifests_; }
  // Returns the digests of other failure domains, with whose endpoints this
  // process does not exchange messages directly.
  std::vector<DomainDigest> Digests(common::Time now) const;
  membership::PeerTable& peers() { return peers_; }
  const membership::PeerTable& peers() const { return peers_; }

 private:
  PlannerInput PlannerInputAt(common::Time now) const;
  Effects HandleMessage(const Message& message, common::Time now);
  // Puts `offered` in force if its version is higher than the current one.
  void Offer(ManifestPtr offered,
             Source source,
             common::Time now,
             Effects& effects);
  // Returns a message to `receiver`, which is null if its role and failure
  // domain are unknown.
  Message MakeMessage(const membership::PeerInfo* receiver, common::Time now);
  void AddDigests(const membership::PeerInfo& receiver,
                  Message& message,
                  common::Time now);

  membership::PeerInfo info_;
  // When the process began to leave; unset before.
  common::Time leaving_since_{};
  Planner planner_;
  rollout::ManifestHolder manifests_;
  membership::PeerTable peers_;
  DigestTable digests_;
  // Failure domains of the manifest's endpoints, by peer address.
  std::map<std::string, std::string> endpoints_;
};

}  // namespace wagtailshore::dissemination

#endif  // COORDINATION_DISSEMINATION_MEMBER_H_
