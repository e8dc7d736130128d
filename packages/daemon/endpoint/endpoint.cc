#include "daemon/endpoint/endpoint.h"

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "daemon/endpoint/attempt_server.h"
#include "daemon/node/node.h"

namespace wagtailshore::endpoint {

class Endpoint::Impl {
 public:
  explicit Impl(const settings::Settings& settings)
      : node_(settings, membership::Role::kEndpoint), attempt_server_(node_) {}

  // Attempts in flight use all other members, so the server is destroyed first.
  ~Impl() { server_.reset(); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  absl::Status Start() {
    absl::Status started = node_.Start(
        {.on_manifest = [](const rollout::VersionedManifest&) {},
         .on_peer = [](const messages::PeerExchange&,
                       membership::PeerChange) {},
         .on_instances = [](const std::vector<platform_client::Instance>&) {},
         .load =
             [this] {
               return routing::LoadReport{
                   .running = static_cast<uint32_t>(node_.gate().in_flight()),
                   .slots = node_.settings().engine_slots};
             },
         .add_to_dump = [](nlohmann::json&) {},
         .admin = [](const http_server::Request&)
             -> std::optional<http_server::Response> { return std::nullopt; }});
    if (!started.ok()) {
      return started;
    }
    const settings::Settings& settings = node_.settings();
    auto server =
        http_server::Server::Start({.address = settings.traffic_address,
                                    .max_requests = settings.max_connections,
                                    .max_body_bytes = settings.max_body_bytes,
                                    .limiter = &node_.limiter()},
                                   [this](const http_server::Request& request) {
                                     return attempt_server_.OnRequest(request);
                                   });
    if (!server.ok()) {
      return server.status();
    }
    server_ = *std::move(server);
    return absl::OkStatus();
  }

  void Drain() {
    node_.control().Call([this] {
      node_.gate().StartDraining();
      node_.AnnounceLeaving();
    });
    node_.WaitUntilDrained();
    server_->StopAccepting();
    server_->WaitUntilIdle();
  }

 private:
  node::Node node_;
  AttemptServer attempt_server_;
  std::unique_ptr<http_server::Server> server_;
};

absl::StatusOr<std::unique_ptr<Endpoint>> Endpoint::Start(
    const settings::Settings& settings) {
  auto impl = std::make_unique<Impl>(settings);
  absl::Status status = impl->Start();
  if (!status.ok()) {
    return status;
  }
  return std::unique_ptr<Endpoint>(new Endpoint(std::move(impl)));
}

Endpoint::Endpoint(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

Endpoint::~Endpoint() = default;

void Endpoint::Drain() {
  impl_->Drain();
}

}  // namespace wagtailshore::endpoint
