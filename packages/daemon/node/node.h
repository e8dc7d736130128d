#ifndef DAEMON_NODE_NODE_H_
#define DAEMON_NODE_NODE_H_

#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "common/time.h"
#include "coordination/dissemination/member.h"
#include "coordination/draining/drain_gate.h"
#include "coordination/membership/peer_table.h"
#include "coordination/rollout/manifest_holder.h"
#include "daemon/settings/settings.h"
#include "protocol/messages/messages.h"
#include "transport/control_loop/control_loop.h"
#include "transport/http_server/http_server.h"
#include "transport/platform_client/platform_client.h"

// The parts that entries and endpoints share: the control thread with the
// manifest and the peers, the control exchanges with peers, and the admin
// server.
namespace wagtailshore::node {

// Callbacks of a role. Called on the control thread unless noted.
struct NodeHooks {
  // A newer manifest is in force.
  std::function<void(const rollout::VersionedManifest&)> on_manifest;
  // A peer's request or reply was received and processed.
  std::function<void(const messages::PeerExchange&, membership::PeerChange)>
      on_peer;
  // The platform's instance list was read.
  std::function<void(const std::vector<platform_client::Instance>&)>
      on_instances;
  // Returns the load that is reported to peers.
  std::function<routing::LoadReport()> load;
  // Adds the role's own fields to a message to a peer; optional.
  std::function<void(messages::PeerExchange&)> add_to_exchange;
  // Adds the role's own fields to the dump.
  std::function<void(nlohmann::json&)> add_to_dump;
  // Serves the admin requests that the node itself does not handle. Called on
  // the connection's thread.
  std::function<std::optional<http_server::Response>(
      const http_server::Request&)>
      admin;
};

class Node {
 public:
  Node(const settings::Settings& settings, membership::Role role);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  absl::Status Start(NodeHooks hooks);

  control_loop::ControlLoop& control() { return control_; }
  const platform_client::PlatformClient& platform() const { return platform_; }
  const settings::Settings& settings() const { return settings_; }
  // Counts what the clients of all servers of this process make it hold.
  http_server::ConnectionLimiter& limiter() { return limiter_; }
  // A random identifier of this process; a restarted instance has another one.
  const std::string& incarnation() const { return incarnation_; }

  // Only on the control thread:

  const rollout::ManifestHolder& manifests() const {
    return member_.manifests();
  }
  membership::PeerTable& peers() { return member_.peers(); }
  // Digests of the failure domains whose endpoints do not exchange messages
  // with this process directly.
  std::vector<dissemination::DomainDigest> Digests() const {
    return member_.Digests(common::Clock::now());
  }
  draining::DrainGate& gate() { return gate_; }
  // Puts a manifest that the platform accepted in force if it is newer, and
  // sends it to the peers at once.
  void OfferManifest(std::shared_ptr<const rollout::VersionedManifest> offered);
  // Marks this process as leaving and informs the peers at once.
  void AnnounceLeaving();

  // On any thread but the control thread:

  // Waits until the gate is drained.
  void WaitUntilDrained();

 private:
  // All but StartPlatformWatch() are called on the control thread.
  void StartPlatformWatch();
  std::string OnExchange(std::string_view request);
  void Tick();
  void Execute(const dissemination::Effects& effects);
  void Perform(const dissemination::SendExchange& send);
  void Perform(const dissemination::ReadPlatform& read);
  void OnReply(const std::string& address,
               common::Time sent,
               const absl::StatusOr<std::string>& reply);
  void OnUnanswered(const std::string& address, const absl::Status& status);
  // Applies the effects of a received message and passes it to the role.
  void ApplyExchange(const messages::PeerExchange& exchange,
                     const dissemination::Effects& effects);
  dissemination::Message FromWire(const messages::PeerExchange& exchange) const;
  messages::PeerExchange ToWire(dissemination::Message message) const;

  // Whether the request carries the admin token, or none is set.
  bool IsAllowed(const http_server::Request& request) const;
  http_server::Response OnAdmin(const http_server::Request& request);
  std::string Dump();

  settings::Settings settings_;
  const std::string incarnation_;
  NodeHooks hooks_;
  dissemination::Member member_;
  draining::DrainGate gate_;
  platform_client::PlatformClient platform_;
  http_server::ConnectionLimiter limiter_;
  // Set on the control thread before the links are destroyed.
  bool stopping_ = false;

  // Members are destroyed in reverse order: first the links, which call into
  // the control thread, then the control loop, then the state above.
  control_loop::ControlLoop control_;
  struct Links;
  std::unique_ptr<Links> links_;
};

}  // namespace wagtailshore::node

#endif  // DAEMON_NODE_NODE_H_
