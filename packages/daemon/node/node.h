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
  // Adds what the role tells its peers; may be left out.
  std::function<void(messages::PeerExchange&)> add_to_exchange;
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
  const std::string& incarnation() const { return incarnation_; }

  // Only on the control thread:

  const rollout::ManifestHolder& manifests() const {
    return member_.manifests();
  }
  membership::PeerTable& peers() { return member_.peers(); }
  // Of the failure domains whose endpoints are not heard directly.
  std::vector<dissemination::DomainDigest> Digests() const {
    return member_.Digests(common::Clock::now());
  }
  draining::DrainGate& gate() { return gate_; }
  // A manifest that the platform accepted: puts it in force if it is newer,
  // and tells the peers at once.
  void OfferManifest(std::shared_ptr<const rollout::VersionedManifest> offered);
  // Marks this process as leaving and tells the peers at once.
  void AnnounceLeaving();

  // On any other thread:

  // Waits until the gate is drained.
  void WaitUntilDrained();

 private:
  // All on the control thread.
  void StartPlatformWatch();
  std::string OnExchange(std::string_view request);
  void Tick();
  void Execute(const dissemination::Effects& effects);
  void Do(const dissemination::SendExchange& send);
  void Do(const dissemination::ReadPlatform& read);
  void OnReply(const std::string& address,
               common::Time sent,
               const absl::StatusOr<std::string>& reply);
  void OnUnanswered(const std::string& address, const absl::Status& status);
  // Takes the effects of a message and shows it to the role.
  void Take(const messages::PeerExchange& exchange,
            const dissemination::Effects& effects);
  dissemination::Message FromWire(const messages::PeerExchange& exchange) const;
  messages::PeerExchange ToWire(dissemination::Message message) const;

  // Whether the request carries the admin token, if one is set.
  bool IsAllowed(const http_server::Request& request) const;
  http_server::Response OnAdmin(const http_server::Request& request);
  std::string Dump();

  settings::Settings settings_;
  const std::string incarnation_;
  NodeHooks hooks_;
  dissemination::Member member_;
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
