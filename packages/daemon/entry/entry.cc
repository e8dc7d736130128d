#include "daemon/entry/entry.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>
#include <utility>

#include "coordination/membership/leaving_view.h"
#include "daemon/entry/caller_server.h"
#include "daemon/entry/entry_admin.h"
#include "daemon/entry/entry_control.h"
#include "daemon/entry/entry_core.h"

namespace wagtailshore::entry {

class Entry::Impl {
 public:
  explicit Impl(const settings::Settings& settings)
      : core_({.failure_domain = settings.failure_domain,
               .seed = std::random_device()()}),
        node_(settings, membership::Role::kEntry),
        control_(node_, core_),
        caller_server_(node_, core_, control_) {}

  // The caller connections use all other members, so the server is destroyed
  // first. The empty call waits until the tasks that they posted to the control
  // thread, which use the members below, have run.
  ~Impl() {
    server_.reset();
    node_.control().Call([] {});
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  absl::Status Start() {
    absl::Status started = node_.Start(Hooks());
    if (!started.ok()) {
      return started;
    }
    const settings::Settings& settings = node_.settings();
    auto server = http_server::Server::Start(
        {.address = settings.caller_address,
         .max_requests = settings.max_connections,
         .max_body_bytes = settings.max_body_bytes,
         .too_large_body = http_api::FormatRefusal(
             {.code = refusal::Code::kTooLarge,
              .message = "the request body exceeds the size limit"}),
         .overloaded_body =
             http_api::FormatRefusal({.code = refusal::Code::kOverloaded,
                                      .message = "too many requests at once",
                                      .retry_after = common::seconds(1)}),
         .limiter = &node_.limiter()},
        [this](http_server::Request request) {
          return caller_server_.OnRequest(std::move(request));
        });
    if (!server.ok()) {
      return server.status();
    }
    server_ = *std::move(server);
    return absl::OkStatus();
  }

  void Drain() {
    node_.control().Call([this] { node_.AnnounceLeaving(); });
    std::this_thread::sleep_for(node_.settings().drain_notice);
    node_.control().Call([this] { node_.gate().StartDraining(); });
    node_.WaitUntilDrained();
    server_->StopAccepting();
    server_->WaitUntilIdle();
  }

 private:
  node::NodeHooks Hooks() {
    return {
        .on_manifest =
            [this](const rollout::VersionedManifest& manifest) {
              OnManifest(manifest.manifest);
            },
        .on_peer =
            [this](const messages::PeerExchange& exchange,
                   membership::PeerChange change) { OnPeer(exchange, change); },
        .on_instances =
            [this](const std::vector<platform_client::Instance>& all) {
              OnInstances(all);
            },
        .load = [] { return routing::LoadReport{}; },
        .add_to_exchange =
            [this](messages::PeerExchange& exchange) {
              exchange.crashed_contents =
                  core_.quarantine.Export(common::Clock::now());
            },
        .add_to_dump = [this](nlohmann::json& dump) { AddToDump(dump); },
        .admin =
            [this](const http_server::Request& request) {
              return OnAdmin(request);
            }};
  }

  // Called on the connection's thread.
  std::optional<http_server::Response> OnAdmin(
      const http_server::Request& request) {
    if (request.path != "/metrics") {
      return OnAdminRequest(node_, request);
    }
    return http_server::FullResponse{
        .content_type = "text/plain; version=0.0.4",
        .body =
            node_.control().Call([this] { return core_.metrics.Format(); })};
  }

  void OnManifest(const manifest::Manifest& manifest) {
    core_.customers = manifest::CustomerIndex(manifest);
    std::set<std::string> names;
    endpoint_addresses_.clear();
    for (const manifest::Endpoint& endpoint : manifest.endpoints) {
      const auto* replica =
          std::get_if<manifest::ServiceReplica>(&endpoint.duty);
      core_.router.Upsert(endpoint.name, endpoint.failure_domain,
                          replica != nullptr ? replica->service
                                             : std::string(manifest::ModelOf(
                                                   manifest, endpoint)));
      names.insert(endpoint.name);
      endpoint_addresses_.insert(endpoint.peer_address);
    }
    core_.router.KeepOnly(names);
  }

  void OnPeer(const messages::PeerExchange& exchange,
              membership::PeerChange change) {
    if (exchange.info.role == membership::Role::kEntry) {
      for (const dissemination::DomainDigest& digest : node_.Digests()) {
        leaving_view_.OnDigest(digest.failure_domain,
                               {digest.leaving.begin(), digest.leaving.end()},
                               common::Clock::now() - digest.age);
      }
      UpdateLeaving();
      core_.quarantine.Merge(exchange.crashed_contents, common::Clock::now());
      return;
    }
    if (change.restarted) {
      core_.router.OnRestarted(exchange.info.name);
      reported_leaving_.erase(exchange.info.name);
    }
    core_.router.OnReport(exchange.info.name, exchange.load,
                          common::Clock::now());
    leaving_view_.OnEndpointReport(exchange.info.name,
                                   exchange.info.failure_domain,
                                   exchange.info.leaving, common::Clock::now());
    UpdateLeaving();
  }

  // Updates the router with the endpoints that have begun to leave, and with
  // those that no longer leave because a new process has replaced them.
  void UpdateLeaving() {
    std::set<std::string> leaving = leaving_view_.Leaving(common::Clock::now());
    for (const std::string& endpoint : leaving) {
      if (!reported_leaving_.contains(endpoint)) {
        core_.router.OnLeaving(endpoint);
      }
    }
    for (const std::string& endpoint : reported_leaving_) {
      if (!leaving.contains(endpoint)) {
        core_.router.OnRestarted(endpoint);
      }
    }
    reported_leaving_ = std::move(leaving);
  }

  void OnInstances(const std::vector<platform_client::Instance>& instances) {
    std::vector<std::string> entries;
    std::set<std::string> leaving;
    for (const platform_client::Instance& instance : instances) {
      if (endpoint_addresses_.contains(instance.peer_address)) {
        if (instance.leaving) {
          leaving.insert(instance.name);
        }
        continue;
      }
      entries.push_back(instance.peer_address);
    }
    node_.peers().AddSeeds(entries);
    leaving_view_.OnInstanceList(std::move(leaving));
    UpdateLeaving();
  }

  void AddToDump(nlohmann::json& dump) {
    const common::Time now = common::Clock::now();
    for (const auto& [name, candidate] : core_.router.candidates()) {
      dump["endpoints"][name] = {
          {"failure_domain", candidate.failure_domain},
          {"target", candidate.target},
          {"queued", candidate.report.queued},
          {"running", candidate.report.running},
          {"own_in_flight", candidate.own_load.in_flight()},
          {"slots", candidate.slots},
          {"first_token_ms", candidate.first_token_ms},
          {"leaving", candidate.leaving},
          {"ejected_for_ms",
           std::max<int64_t>(
               0, common::ToMilliseconds(candidate.ejected_until - now))}};
    }
  }

  EntryCore core_;
  std::set<std::string> endpoint_addresses_;
  membership::LeavingView leaving_view_;
  // The endpoints that the router was last informed of as leaving.
  std::set<std::string> reported_leaving_;
  node::Node node_;
  EntryControl control_;
  CallerServer caller_server_;
  std::unique_ptr<http_server::Server> server_;
};

absl::StatusOr<std::unique_ptr<Entry>> Entry::Start(
    const settings::Settings& settings) {
  auto impl = std::make_unique<Impl>(settings);
  absl::Status status = impl->Start();
  if (!status.ok()) {
    return status;
  }
  return std::unique_ptr<Entry>(new Entry(std::move(impl)));
}

Entry::Entry(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

Entry::~Entry() = default;

void Entry::Drain() {
  impl_->Drain();
}

}  // namespace wagtailshore::entry
