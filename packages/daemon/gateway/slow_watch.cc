#include "daemon/gateway/slow_watch.h"

#include <utility>
#include <vector>

#include "common/event_log.h"
#include "common/strings.h"
#include "protocol/companion_messages/companion_messages.h"
#include "protocol/http1/status.h"

namespace wagtailshore::gateway {
SlowWatch::SlowWatch(event_loop::EventLoop& loop,
                     http_channel::HttpCaller& caller,
                     SlowWatchOptions options,
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

void SlowWatch::Start() {
  if (options_.peer_port != 0) {
    loop_.Every(options_.period, [this] { QueryCompanion(); });
  }
}

std::string SlowWatch::ChooseCompanion() {
  if (store_.routes() == nullptr) {
    return {};
  }
  std::set<std::string> grouped_services;
  for (const serving::Service& service :
       store_.routes()->configuration().services) {
    if (service.engine.has_value() && service.engine->layers > 0) {
      grouped_services.insert(service.name);
    }
  }
  std::vector<const std::string*> same_domain;
  std::vector<const std::string*> other_domains;
  for (const auto& [id, endpoint] : fleet_.endpoints()) {
    if (grouped_services.contains(endpoint.service)) {
      (endpoint.failure_domain == options_.failure_domain ? same_domain
                                                          : other_domains)
          .push_back(&endpoint.address);
    }
  }
  const auto& candidates = same_domain.empty() ? other_domains : same_domain;
  if (candidates.empty()) {
    return {};
  }
  std::uniform_int_distribution<size_t> index(0, candidates.size() - 1);
  const std::string& address = *candidates[index(random_)];
  return common::StrCat(address.substr(0, address.rfind(':')), ":",
                        options_.peer_port);
}

void SlowWatch::QueryCompanion() {
  if (!slow_endpoints_.empty() &&
      loop_.Now() - last_answer_at_ > options_.expiry) {
    UpdateSlowEndpoints({});
  }
  const std::string companion = ChooseCompanion();
  if (companion.empty()) {
    return;
  }
  caller_.Start(
      companion,
      {.method = "GET",
       .target = std::string(companion_messages::kSlowEnginesPath)},
      options_.timeout,
      [this](const http_channel::CallResult& result) { OnAnswer(result); });
}

void SlowWatch::OnAnswer(const http_channel::CallResult& result) {
  const auto engines =
      result.ok() && result->status == http1::kOk
          ? companion_messages::DecodeSlowEngines(result->body)
          : absl::UnavailableError(
                "the companion did not return a list of slow engines");
  if (!engines.ok()) {
    // Not logged: the next request goes to another companion, routing continues
    // without the list, and a line for each failure would flood the log.
    return;
  }
  last_answer_at_ = loop_.Now();
  const std::set<std::string> addresses(engines->begin(), engines->end());
  std::set<std::string> slow;
  for (const auto& [id, endpoint] : fleet_.endpoints()) {
    if (addresses.contains(endpoint.address)) {
      slow.insert(id);
    }
  }
  if (slow != slow_endpoints_) {
    UpdateSlowEndpoints(slow);
  }
}

void SlowWatch::UpdateSlowEndpoints(const std::set<std::string>& endpoints) {
  slow_endpoints_ = endpoints;
  router_.SetSlowEndpoints(slow_endpoints_);
  std::string ids;
  for (const std::string& id : slow_endpoints_) {
    common::StrAppend(&ids, ids.empty() ? "" : ",", id);
  }
  common::LogEvent(common::EventId::kSlowEndpoints,
                   common::StrCat("endpoints=", ids.empty() ? "none" : ids));
}

}  // namespace wagtailshore::gateway
