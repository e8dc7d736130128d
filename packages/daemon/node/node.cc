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
#include "transport/machine/machine.h"
#include "transport/peer_link/peer_client.h"
#include "transport/peer_link/peer_server.h"

namespace wagtailshore::node {
namespace {

using Json = nlohmann::json;

// Consecutive unanswered exchanges with a peer before an event is logged.
constexpr uint32_t kUnansweredBeforeEvent = 3;
constexpr common::Duration kExchangeTimeout = common::milliseconds(400);
constexpr common::Duration kDrainPollPeriod = common::milliseconds(20);

std::shared_ptr<const rollout::VersionedManifest> ManifestFromTransfer(
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

http_server::FullResponse TextResponse(int status, std::string body) {
  return {
      .status = status, .content_type = "text/plain", .body = std::move(body)};
}

}  // namespace

// The objects that run on their own threads and call into the control thread.
struct Node::Links {
  std::unique_ptr<http_server::Server> admin_server;
  std::unique_ptr<peer_link::PeerServer> peer_server;
  std::unique_ptr<PlatformWatch> platform_watch;
  peer_link::PeerClient peer_client;
};

Node::Node(const settings::Settings& settings, membership::Role role)
    : settings_(settings),
      incarnation_(common::RandomId()),
      member_({.name = settings.name,
               .incarnation = incarnation_,
               .role = role,
               .failure_domain = settings.failure_domain,
               .peer_address = settings.peer_address},
              {.address = settings.peer_address,
               .failure_domain = settings.failure_domain,
               .role = role,
               .exchange_period = settings.exchange_period,
               .poll_period = settings.platform_poll_period}),
      platform_(
          {.url = settings.platform_url, .timeout = settings.platform_timeout}),
      limiter_(client_budget::OptionsFor(
          machine::LimitsWithin(settings.memory_bytes,
                                settings.max_descriptors))),
      links_(std::make_unique<Links>()) {
  member_.peers().AddSeeds(settings.seeds);
}

Node::~Node() {
  if (links_->peer_server != nullptr) {
    control_.Call([this] { stopping_ = true; });
  }
  // The sources of new work are destroyed first, then the client that sends to
  // peers.
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
       .max_body_bytes = peer_link::kMaxMessageBytes,
       .limiter = &limiter_},
      [this](const http_server::Request& request) { return OnAdmin(request); });
  if (!admin_server.ok()) {
    return admin_server.status();
  }
  links_->admin_server = *std::move(admin_server);

  if (member_.info().role == membership::Role::kEntry) {
    StartPlatformWatch();
  }
  control_.Every(dissemination::kTickPeriod, [this] { Tick(); });
  return absl::OkStatus();
}

void Node::StartPlatformWatch() {
  links_->platform_watch = std::make_unique<PlatformWatch>(PlatformWatchOptions{
      .platform = &platform_,
      .current_version =
          [this] {
            return control_.Call([this] { return manifests().version(); });
          },
      .on_manifest =
          [this](auto manifest) {
            control_.Post([this, manifest] { OfferManifest(manifest); });
          },
      .on_instances =
          [this](const std::vector<platform_client::Instance>& instances) {
            control_.Post(
                [this, instances] { hooks_.on_instances(instances); });
          },
      .on_polled =
          [this](bool available) {
            control_.Post(
                [this, available] { member_.OnPlatformRead(available); });
          }});
}

void Node::OfferManifest(
    std::shared_ptr<const rollout::VersionedManifest> offered) {
  Execute(member_.OnPlatformManifest(std::move(offered), common::Clock::now()));
}

void Node::AnnounceLeaving() {
  Execute(member_.AnnounceLeaving(common::Clock::now()));
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
  const common::Time now = common::Clock::now();
  const dissemination::Message message = FromWire(*exchange);
  ApplyExchange(*exchange, member_.OnRequest(message, now));
  return messages::Encode(ToWire(member_.ReplyTo(message, now)));
}

void Node::Tick() {
  Execute(member_.OnTick(common::Clock::now()));
}

void Node::Execute(const dissemination::Effects& effects) {
  if (effects.new_manifest) {
    common::LogEvent(common::EventId::kManifestInForce,
                     common::StrCat("version=", manifests().version()));
    hooks_.on_manifest(*manifests().current());
  }
  for (const dissemination::Action& action : effects.actions) {
    if (stopping_) {
      return;
    }
    std::visit([this](const auto& kind) { Perform(kind); }, action);
  }
}

void Node::Perform(const dissemination::SendExchange& send) {
  const common::Time now = common::Clock::now();
  links_->peer_client.Send(
      send.address, messages::Encode(ToWire(member_.MessageFor(send, now))),
      kExchangeTimeout,
      [this, address = send.address, now](absl::StatusOr<std::string> reply) {
        control_.Post([this, address, now, reply = std::move(reply)] {
          OnReply(address, now, reply);
        });
      });
}

void Node::Perform(const dissemination::ReadPlatform&) {
  if (links_->platform_watch != nullptr) {
    links_->platform_watch->RequestPoll();
  }
}

void Node::OnReply(const std::string& address,
                   common::Time sent,
                   const absl::StatusOr<std::string>& reply) {
  if (!reply.ok()) {
    OnUnanswered(address, reply.status());
    return;
  }
  const auto exchange = messages::DecodePeerExchange(*reply);
  if (!exchange.ok()) {
    return;
  }
  ApplyExchange(*exchange, member_.OnReply(FromWire(*exchange), sent,
                                           common::Clock::now()));
}

void Node::OnUnanswered(const std::string& address,
                        const absl::Status& status) {
  const bool not_sent = absl::IsUnavailable(status);
  if (!not_sent && member_.OnUnanswered(address) == kUnansweredBeforeEvent) {
    common::LogEvent(common::EventId::kPeerUnreachable,
                     common::StrCat("address=", address));
  }
}

void Node::ApplyExchange(const messages::PeerExchange& exchange,
                         const dissemination::Effects& effects) {
  if (effects.change.began_leaving) {
    common::LogEvent(common::EventId::kEndpointLeaving,
                     common::StrCat("name=", exchange.info.name));
  }
  Execute(effects);
  hooks_.on_peer(exchange, effects.change);
}

dissemination::Message Node::FromWire(
    const messages::PeerExchange& exchange) const {
  dissemination::Message message{.info = exchange.info,
                                 .entries = exchange.entries,
                                 .domains = exchange.domains};
  if (exchange.manifest.has_value() &&
      exchange.manifest->version > manifests().version()) {
    message.manifest = ManifestFromTransfer(*exchange.manifest);
  }
  return message;
}

messages::PeerExchange Node::ToWire(dissemination::Message message) const {
  messages::PeerExchange exchange{.info = std::move(message.info),
                                  .load = hooks_.load(),
                                  .entries = std::move(message.entries),
                                  .domains = std::move(message.domains)};
  if (message.manifest != nullptr) {
    exchange.manifest = messages::ManifestTransfer{
        .version = message.manifest->manifest.version,
        .body = message.manifest->body};
  }
  if (hooks_.add_to_exchange) {
    hooks_.add_to_exchange(exchange);
  }
  return exchange;
}

bool Node::IsAllowed(const http_server::Request& request) const {
  if (settings_.admin_token.empty()) {
    return true;
  }
  const auto header = request.headers.find("authorization");
  // Digests have a fixed length, so the comparison does not reveal the length
  // of the token.
  return header != request.headers.end() &&
         common::ConstantTimeEquals(common::Sha256Hex(header->second),
                                    common::Sha256Hex(common::StrCat(
                                        "Bearer ", settings_.admin_token)));
}

http_server::Response Node::OnAdmin(const http_server::Request& request) {
  if (request.path == "/healthz") {
    return TextResponse(200, "ok\n");
  }
  if (request.path == "/readyz") {
    const bool ready = control_.Call([this] {
      return manifests().version() > 0 && !member_.info().leaving;
    });
    return ready ? TextResponse(200, "ready\n")
                 : TextResponse(503, "not ready\n");
  }
  if (!IsAllowed(request)) {
    return TextResponse(401, "the admin token is missing or wrong\n");
  }
  if (request.path == "/dump") {
    return http_server::FullResponse{
        .body = control_.Call([this] { return Dump(); })};
  }
  auto response = hooks_.admin(request);
  if (response.has_value()) {
    return *std::move(response);
  }
  return TextResponse(404, "no such path\n");
}

std::string Node::Dump() {
  const common::Time now = common::Clock::now();
  const membership::PeerInfo& info = member_.info();
  Json dump = {{"name", info.name},
               {"incarnation", info.incarnation},
               {"role", common::NameOf(membership::kRoleNames, info.role)},
               {"failure_domain", info.failure_domain},
               {"leaving", info.leaving},
               {"relay", member_.IsRelay(now)},
               {"sees_platform", info.sees_platform},
               {"in_flight", gate_.in_flight()},
               {"manifest",
                {{"version", manifests().version()},
                 {"in_force_for_ms",
                  manifests().version() == 0
                      ? 0
                      : common::ToMilliseconds(now - manifests().since())}}},
               {"peers", Json::array()}};
  for (const auto& [address, peer] : member_.peers().peers()) {
    dump["peers"].push_back(
        {{"name", peer.info.name},
         {"address", address},
         {"role", common::NameOf(membership::kRoleNames, peer.info.role)},
         {"failure_domain", peer.info.failure_domain},
         {"manifest_version", peer.info.manifest_version},
         {"manifest_version_for_ms",
          common::ToMilliseconds(now - peer.version_since)},
         {"leaving", peer.info.leaving},
         {"age_ms", common::ToMilliseconds(now - peer.last_seen)},
         {"unanswered", peer.unanswered}});
  }
  hooks_.add_to_dump(dump);
  return dump.dump(2);
}

}  // namespace wagtailshore::node
