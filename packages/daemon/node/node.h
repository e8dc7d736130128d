#ifndef DAEMON_NODE_NODE_H_
#define DAEMON_NODE_NODE_H_

#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "common/time.h"
#include "coordination/draining/drain_gate.h"
#include "coordination/membership/peer_table.h"
#include "coordination/rollout/manifest_holder.h"
#include "daemon/settings/settings.h"
#include "protocol/messages/messages.h"
#include "transport/control_loop/control_loop.h"
#include "transport/http_server/http_server.h"
#include "transport/platform_client/platform_client.h"

// What both roles of the daemon have in common: the control thread with the
// manifest and the peers, the control exchange, and the admin address.
namespace wagtailshore::node {

// Where a role joins in. Called on the control thread unless noted.
struct NodeHooks {
  std::function<void(const rollout::VersionedManifest&)> on_manifest;
  std::function<void(const messages::PeerExchange&, membership::PeerChange)>
      on_peer;
  std::function<void(const std::vector<platform_client::Instance>&)>
      on_instances;
  std::function<routing::LoadReport()> load;
  // Peers to exchange with besides those heard from.
  std::function<std::set<std::string>()> addresses;
  std::function<void(nlohmann::json&)> add_to_dump;
  // Requests to the admin address that the node does not know; called on the
  // connection's thread.
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
  // Distinguishes this process from every other.
  const std::string& incarnation() const { return info_.incarnation; }

  // Only on the control thread:

  rollout::ManifestHolder& manifests() { return manifests_; }
  membership::PeerTable& peers() { return peers_; }
  draining::DrainGate& gate() { return gate_; }
  // Puts the manifest in force if it is newer, and tells the peers at once.
  void OfferManifest(std::shared_ptr<const rollout::VersionedManifest> offered);
  // Marks this process as leaving and tells the peers at once.
  void AnnounceLeaving();

  // On any other thread:

  // Waits until the gate is drained.
  void WaitUntilDrained();

 private:
  // All on the control thread.
  std::string OnExchange(std::string_view request);
  void ExchangeWithPeers();
  void ExchangeWith(const std::string& address);
  void OnReply(const std::string& address,
               const absl::StatusOr<std::string>& reply);
  void Learn(const messages::PeerExchange& exchange);
  messages::PeerExchange OwnExchange(uint64_t receiver_version);

  http_server::Response OnAdmin(const http_server::Request& request);
  std::string Dump();

  settings::Settings settings_;
  membership::PeerInfo info_;
  NodeHooks hooks_;
  rollout::ManifestHolder manifests_;
  membership::PeerTable peers_;
  draining::DrainGate gate_;
  platform_client::PlatformClient platform_;
  // Set on the control thread when the links are about to go.
  bool stopping_ = false;

  // Destroyed in the reverse of this order: whatever calls into the control
  // thread goes before it, and the loop before the state above.
  control_loop::ControlLoop control_;
  struct Links;
  std::unique_ptr<Links> links_;
};

}  // namespace wagtailshore::node

#endif  // DAEMON_NODE_NODE_H_
