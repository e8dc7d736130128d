#include "coordination/dissemination/member.h"

#include <utility>

namespace wagtailshore::dissemination {
namespace {

// Peers from which nothing was received for longer than this are removed.
constexpr common::Duration kPeerExpiry = common::seconds(60);

void Append(Actions more, Actions& actions) {
  for (Action& action : more) {
    actions.push_back(std::move(action));
  }
}

}  // namespace

Member::Member(membership::PeerInfo info, PlannerOptions options)
    : info_(std::move(info)), planner_(std::move(options)) {}

Effects Member::OnTick(common::Time now) {
  peers_.Expire(now, kPeerExpiry);
  return {.actions = planner_.OnTick(PlannerInputAt(now))};
}

Effects Member::OnRequest(const Message& message, common::Time now) {
  return HandleMessage(message, now);
}

Effects Member::OnReply(const Message& message,
                        common::Time sent,
                        common::Time now) {
  if (info_.leaving && sent >= leaving_since_) {
    planner_.OnLeavingConfirmed(message.info.peer_address);
  }
  Effects effects = HandleMessage(message, now);
  if (message.info.manifest_version < manifests_.version()) {
    effects.actions.emplace_back(SendExchange{
        .address = message.info.peer_address, .with_manifest = true});
  }
  return effects;
}

uint32_t Member::OnUnanswered(const std::string& address) {
  return peers_.OnUnanswered(address);
}

Effects Member::OnPlatformManifest(ManifestPtr manifest, common::Time now) {
  Effects effects;
  Offer(std::move(manifest), Source::kPlatform, now, effects);
  return effects;
}

void Member::OnPlatformRead(bool answered) {
  info_.sees_platform = answered;
  planner_.OnPlatformRead();
}

Effects Member::AnnounceLeaving(common::Time now) {
  info_.leaving = true;
  leaving_since_ = now;
  return {.actions = planner_.OnLeaving(PlannerInputAt(now))};
}

Message Member::MessageFor(const SendExchange& send, common::Time now) {
  const auto peer = peers_.peers().find(send.address);
  Message message = MakeMessage(
      peer == peers_.peers().end() ? nullptr : &peer->second.info, now);
  if (send.with_manifest) {
    message.manifest = manifests_.current();
  }
  return message;
}

Message Member::ReplyTo(const Message& request, common::Time now) {
  Message message = MakeMessage(&request.info, now);
  if (request.info.manifest_version < manifests_.version()) {
    message.manifest = manifests_.current();
  }
  return message;
}

bool Member::IsRelay(common::Time now) {
  return info_.role == membership::Role::kEntry &&
         planner_.IsRelay(PlannerInputAt(now));
}

PlannerInput Member::PlannerInputAt(common::Time now) const {
  return {.peers = peers_,
          .endpoints = endpoints_,
          .version = manifests_.version(),
          .leaving = info_.leaving,
          .sees_platform = info_.sees_platform,
          .now = now};
}

Effects Member::HandleMessage(const Message& message, common::Time now) {
  Effects effects;
  effects.change = peers_.OnPeerInfo(message.info, now);
  peers_.AddSeeds(message.entries);
  for (const DomainDigest& digest : message.domains) {
    if (digest.failure_domain != info_.failure_domain &&
        digests_.Update(digest, now)) {
      Append(planner_.OnOtherDomainDigestChanged(PlannerInputAt(now)),
             effects.actions);
    }
  }
  if (effects.change.began_leaving &&
      message.info.role == membership::Role::kEndpoint &&
      message.info.failure_domain == info_.failure_domain) {
    Append(planner_.OnOwnDomainDigestChanged(PlannerInputAt(now)),
           effects.actions);
  }
  if (message.manifest != nullptr) {
    Offer(message.manifest, Source::kPeer, now, effects);
  }
  return effects;
}

void Member::Offer(ManifestPtr offered,
                   Source source,
                   common::Time now,
                   Effects& effects) {
  if (manifests_.Offer(std::move(offered), now) ==
      rollout::OfferOutcome::kOld) {
    return;
  }
  effects.new_manifest = true;
  info_.manifest_version = manifests_.version();
  endpoints_.clear();
  for (const manifest::Endpoint& endpoint :
       manifests_.current()->manifest.endpoints) {
    endpoints_[endpoint.peer_address] = endpoint.failure_domain;
  }
  Append(planner_.OnNewManifest(source, PlannerInputAt(now)), effects.actions);
}

Message Member::MakeMessage(const membership::PeerInfo* receiver,
                            common::Time now) {
  Message message{.info = info_,
                  .entries = planner_.EntriesToShare(PlannerInputAt(now))};
  if (receiver != nullptr) {
    AddDigests(*receiver, message, now);
  }
  return message;
}

void Member::AddDigests(const membership::PeerInfo& receiver,
                        Message& message,
                        common::Time now) {
  // Only entries exchange digests; endpoints need no information about others.
  if (info_.role != membership::Role::kEntry ||
      receiver.role != membership::Role::kEntry ||
      planner_.IsDirect(PlannerInputAt(now))) {
    return;
  }
  if (receiver.failure_domain == info_.failure_domain) {
    if (IsRelay(now)) {
      message.domains = digests_.SelectToForward(now);
    }
    return;
  }
  // Every entry exchanges messages with its own domain's endpoints, so a relay
  // of another domain can get the digest from any entry.
  message.domains = {DigestTable::Summarise(info_.failure_domain, peers_, now)};
}

std::vector<DomainDigest> Member::Digests(common::Time now) const {
  return digests_.All(now);
}

}  // namespace wagtailshore::dissemination
