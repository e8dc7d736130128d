#include "daemon/gateway/load_watch.h"

#include <map>
#include <set>
#include <utility>

#include "common/event_log.h"
#include "common/strings.h"

namespace wagtailshore::gateway {
namespace {

constexpr int kOk = 200;

}  // namespace

LoadWatch::LoadWatch(event_loop::EventLoop& loop,
                     http_channel::HttpCaller& caller,
                     LoadWatchOptions options,
                     const fleet::Fleet& fleet,
                     const StoreWatch& store,
                     routing::Router& router)
    : loop_(loop),
      caller_(caller),
      options_(std::move(options)),
      fleet_(fleet),
      store_(store),
      router_(router),
      random_(std::random_device{}()) {}

void LoadWatch::Start() {
  if (options_.peer_port != 0) {
    Ask();
  }
}

std::string LoadWatch::ChooseCompanion() {
  if (store_.routes() == nullptr) {
    return {};
  }
  std::set<std::string> grouped;
  for (const serving::Service& service :
       store_.routes()->configuration().services) {
    if (service.engine.has_value() && service.engine->layers > 0) {
      grouped.insert(service.name);
    }
  }
  std::vector<const std::string*> own;
  std::vector<const std::string*> others;
  for (const auto& [id, endpoint] : fleet_.endpoints()) {
    if (grouped.contains(endpoint.service)) {
      (endpoint.failure_domain == options_.failure_domain ? own : others)
          .push_back(&endpoint.address);
    }
  }
  const auto& candidates = own.empty() ? others : own;
  if (candidates.empty()) {
    return {};
  }
  std::uniform_int_distribution<size_t> index(0, candidates.size() - 1);
  const std::string& address = *candidates[index(random_)];
  return common::StrCat(address.substr(0, address.rfind(':')), ":",
                        options_.peer_port);
}

void LoadWatch::Ask() {
  const std::string companion = ChooseCompanion();
  if (companion.empty()) {
    loop_.RunAfter(options_.pause_after_failure, [this] { Ask(); });
    return;
  }
  const common::Time asked_at = loop_.Now();
  caller_.Start(
      companion,
      {.method = "GET", .target = std::string(companion_messages::kLoadsPath)},
      options_.timeout,
      [this, asked_at](const http_channel::CallResult& result) {
        OnAnswer(asked_at, result);
      });
}

void LoadWatch::OnAnswer(common::Time asked_at,
                         const http_channel::CallResult& result) {
  const auto table = result.ok() && result->status == kOk
                         ? companion_messages::DecodeLoadTable(result->body)
                         : absl::UnavailableError("no table of loads");
  if (!table.ok() || table->entries.empty()) {
    // Any companion will do, and routing goes on without: not worth a line.
    loop_.RunAfter(options_.pause_after_failure, [this] { Ask(); });
    return;
  }
  loop_.RunAfter(options_.period, [this] { Ask(); });
  const common::Duration age = table->age + (loop_.Now() - asked_at);
  if (age > options_.oldest) {
    return;
  }
  std::map<std::string, const fleet::EndpointRecord*> by_address;
  for (const auto& [id, endpoint] : fleet_.endpoints()) {
    by_address[endpoint.address] = &endpoint;
  }
  for (const auto& entry : table->entries) {
    const auto found = by_address.find(entry.address);
    if (found == by_address.end()) {
      continue;
    }
    router_.OnReport(
        found->second->id,
        {.queued = static_cast<uint32_t>(std::max(0, entry.load.queued)),
         .running = static_cast<uint32_t>(std::max(0, entry.load.running)),
         .slots = static_cast<uint32_t>(std::max(0, found->second->slots)),
         .age = age},
        loop_.Now());
  }
}

}  // namespace wagtailshore::gateway
