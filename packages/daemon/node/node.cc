#include "daemon/node/node.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "common/digest.h"
#include "common/event_log.h"
#include "common/strings.h"
#include "daemon/node/platform_watch.h"
#include "protocol/manifest_codec/manifest_codec.h"
#include "transport/peer_link/peer_client.h"
#include "transport/peer_link/peer_server.h"

namespace wagtailshore::node {
namespace {

using Json = nlohmann::json;

// Peers not heard for this long are no longer asked.
constexpr common::Duration kPeerHorizon = common::seconds(60);
// Unanswered exchanges in a row before an event is logged.
constexpr uint32_t kUnansweredBeforeEvent = 3;
constexpr common::Duration kExchangeTimeout = common::milliseconds(400);
constexpr common::Duration kDrainPollPeriod = common::milliseconds(20);

std::shared_ptr<const rollout::VersionedManifest> FromTransfer(
    const messages::ManifestTransfer& transfer) {
  auto parsed = manifest_codec::Parse(transfer.body);
  auto* manifest = std::get_if<manifest::Manifest>(&parsed);
  if (manifest == nullptr || transfer.version == 0) {
    return nullptr;
  }
  manifest->version = transfer.version;
  return std::make_shared<const rollout::VersionedManifest>(
      rollout::VersionedManifest{.manifest = std::move(*manifest),
                                 .body = transfer.body,
                                 .digest = common::Sha256Hex(transfer.body)});
}

http_server::FullResponse Text(int status, std::string body) {
  return {
      .status = status, .content_type = "text/plain", .body = std::move(body)};
}

}  // namespace

// What runs on threads of its own and calls into the control thread.
struct Node::Links {
  std::unique_ptr<http_server::Server> admin_server;
  std::unique_ptr<peer_link::PeerServer> peer_server;
  std::unique_ptr<PlatformWatch> platform_watch;
  peer_link::PeerClient peer_client;
};

Node::Node(const settings::Settings& settings, membership::Role role)
    : settings_(settings),
      info_{.name = settings.name,
            .incarnation = common::RandomId(),
            .role = role,
            .failure_domain = settings.failure_domain,
            .peer_address = settings.peer_address},
      platform_(
          {.url = settings.platform_url, .timeout = settings.platform_timeout}),
      links_(std::make_unique<Links>()) {
  peers_.AddSeeds(settings.seeds);
}

Node::~Node() {
  if (links_->peer_server != nullptr) {
    control_.Call([this] { stopping_ = true; });
  }
  // In this order: first what brings new work, then what answers it.
  links_->admin_server.reset();
  links_->platform_watch.reset();
  links_->peer_server.reset();
  links_.reset();
}

absl::Status Node::Start(NodeHooks hooks) {
  hooks_ = std::move(hooks);
  auto peer_server = peer_link::PeerServer::Start(
      settings_.peer_address, [this](std::string_view request) {
        return control_.Call([&] { return OnExchange(request); });
      });
  if (!peer_server.ok()) {
    return peer_server.status();
  }
  links_->peer_server = *std::move(peer_server);

  auto admin_server = http_server::Server::Start(
      {.address = settings_.admin_address,
       .max_body_bytes = peer_link::kMaxMessageBytes},
      [this](const http_server::Request& request) { return OnAdmin(request); });
  if (!admin_server.ok()) {
    return admin_server.status();
  }
  links_->admin_server = *std::move(admin_server);

  if (info_.role == membership::Role::kEntry) {
    links_->platform_watch =
        std::make_unique<PlatformWatch>(PlatformWatchOptions{
            .platform = &platform_,
            .period = settings_.platform_poll_period,
            .current_version =
                [this] {
                  return control_.Call([this] { return manifests_.version(); });
                },
            .on_manifest =
                [this](auto manifest) {
                  control_.Post([this, manifest] { OfferManifest(manifest); });
                },
            .on_instances =
                [this](
                    const std::vector<platform_client::Instance>& instances) {
                  control_.Post(
                      [this, instances] { hooks_.on_instances(instances); });
                }});
  }
  control_.Every(settings_.exchange_period, [this] { ExchangeWithPeers(); });
  return absl::OkStatus();
}

void Node::OfferManifest(
    std::shared_ptr<const rollout::VersionedManifest> offered) {
  if (manifests_.Offer(std::move(offered), common::Clock::now()) ==
      rollout::OfferOutcome::kOld) {
    return;
  }
  common::LogEvent(common::EventId::kManifestInForce,
                   common::StrCat("version=", manifests_.version()));
  hooks_.on_manifest(*manifests_.current());
  ExchangeWithPeers();
}

void Node::AnnounceLeaving() {
  info_.leaving = true;
  ExchangeWithPeers();
}

void Node::WaitUntilDrained() {
  while (!control_.Call([this] { return gate_.drained(); })) {
    std::this_thread::sleep_for(kDrainPollPeriod);
  }
}

std::string Node::OnExchange(std::string_view request) {
  const auto exchange = messages::DecodePeerExchange(request);
  if (!exchange.ok()) {
    return "";
  }
  Learn(*exchange);
  return messages::Encode(OwnExchange(exchange->info.manifest_version));
}

void Node::ExchangeWithPeers() {
  if (stopping_) {
    return;
  }
  const common::Time now = common::Clock::now();
  peers_.Expire(now, kPeerHorizon);
  std::set<std::string> addresses = peers_.Addresses(now, kPeerHorizon);
  addresses.merge(hooks_.addresses());
  addresses.erase(settings_.peer_address);
  for (const std::string& address : addresses) {
    ExchangeWith(address);
  }
}

void Node::ExchangeWith(const std::string& address) {
  if (stopping_) {
    return;
  }
  const auto peer = peers_.peers().find(address);
  // A peer not heard from yet tells its version in its first reply.
  const uint64_t receiver_version = peer == peers_.peers().end()
                                        ? manifests_.version()
                                        : peer->second.info.manifest_version;
  links_->peer_client.Send(
      address, messages::Encode(OwnExchange(receiver_version)),
      kExchangeTimeout, [this, address](absl::StatusOr<std::string> reply) {
        control_.Post([this, address, reply = std::move(reply)] {
          OnReply(address, reply);
        });
      });
}

void Node::OnReply(const std::string& address,
                   const absl::StatusOr<std::string>& reply) {
  if (!reply.ok()) {
    const bool still_busy = absl::IsUnavailable(reply.status());
    if (!still_busy && peers_.OnUnanswered(address) == kUnansweredBeforeEvent) {
      common::LogEvent(common::EventId::kPeerUnreachable,
                       common::StrCat("address=", address));
    }
    return;
  }
  const auto exchange = messages::DecodePeerExchange(*reply);
  if (!exchange.ok()) {
    return;
  }
  Learn(*exchange);
  if (exchange->info.manifest_version < manifests_.version()) {
    ExchangeWith(address);
  }
}

void Node::Learn(const messages::PeerExchange& exchange) {
  const membership::PeerChange change =
      peers_.OnHeard(exchange.info, common::Clock::now());
  if (change.began_leaving) {
    common::LogEvent(common::EventId::kEndpointLeaving,
                     common::StrCat("name=", exchange.info.name));
  }
  if (exchange.manifest.has_value() &&
      exchange.manifest->version > manifests_.version()) {
    auto manifest = FromTransfer(*exchange.manifest);
    if (manifest != nullptr) {
      OfferManifest(std::move(manifest));
    }
  }
  hooks_.on_peer(exchange, change);
}

messages::PeerExchange Node::OwnExchange(uint64_t receiver_version) {
  info_.manifest_version = manifests_.version();
  messages::PeerExchange exchange{.info = info_,
                                  .load = hooks_.load(),
                                  .manifest = std::nullopt,
                                  .entries = {}};
  if (receiver_version < manifests_.version()) {
    exchange.manifest = messages::ManifestTransfer{
        .version = manifests_.version(), .body = manifests_.current()->body};
  }
  for (const auto& [address, peer] : peers_.peers()) {
    if (peer.info.role == membership::Role::kEntry && !peer.info.leaving) {
      exchange.entries.push_back(address);
    }
  }
  return exchange;
}

http_server::Response Node::OnAdmin(const http_server::Request& request) {
  if (request.path == "/healthz") {
    return Text(200, "ok\n");
  }
  if (request.path == "/readyz") {
    const bool ready = control_.Call(
        [this] { return manifests_.version() > 0 && !info_.leaving; });
    return ready ? Text(200, "ready\n") : Text(503, "not ready\n");
  }
  if (request.path == "/dump") {
    return http_server::FullResponse{
        .body = control_.Call([this] { return Dump(); })};
  }
  auto response = hooks_.admin(request);
  if (response.has_value()) {
    return *std::move(response);
  }
  return Text(404, "no such path\n");
}

std::string Node::Dump() {
  const common::Time now = common::Clock::now();
  Json dump = {{"name", info_.name},
               {"incarnation", info_.incarnation},
               {"role", common::NameOf(membership::kRoleNames, info_.role)},
               {"failure_domain", info_.failure_domain},
               {"leaving", info_.leaving},
               {"in_flight", gate_.in_flight()},
               {"manifest",
                {{"version", manifests_.version()},
                 {"in_force_for_ms",
                  manifests_.version() == 0
                      ? 0
                      : common::ToMilliseconds(now - manifests_.since())}}},
               {"peers", Json::array()}};
  for (const auto& [address, peer] : peers_.peers()) {
    dump["peers"].push_back(
        {{"name", peer.info.name},
         {"address", address},
         {"role", common::NameOf(membership::kRoleNames, peer.info.role)},
         {"failure_domain", peer.info.failure_domain},
         {"manifest_version", peer.info.manifest_version},
         {"leaving", peer.info.leaving},
         {"age_ms", common::ToMilliseconds(now - peer.last_heard)},
         {"unanswered", peer.unanswered}});
  }
  hooks_.add_to_dump(dump);
  return dump.dump(2);
}

}  // namespace wagtailshore::node
