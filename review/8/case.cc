// The last tenant is taken out of the config. From then on every key is
// accepted, the ones that were taken away and ones that never existed.
#include "../support-2/stage.h"

namespace wagtailshore::review {
namespace {

using hosted_world::FakeEndpoint;
using hosted_world::FakeStore;
using hosted_world::HostedWorld;
using hosted_world::Received;

constexpr common::Duration kRevokeBound = common::milliseconds(5000);
constexpr common::Duration kEnd = common::milliseconds(9000);

json Configuration(int version, const json& tenants) {
  json configuration = HostedWorld::Configuration(version);
  configuration["tenants"] = tenants;
  return configuration;
}

json Tenant(const json& keys) {
  return {{"name", "c"}, {"api_keys", keys}};
}

int Run() {
  const std::string trouble = Variable("TROUBLE", "1");
  const std::string folder = Variable("FOLDER", ".");
  event_loop::EventLoop loop;
  Record record(loop);
  FakeStore store(loop);
  store.set_feed_wait(common::seconds(30));
  store.SetConfiguration(Configuration(1, {Tenant({"revoked"})}));

  struct Sent {
    std::string key;
    common::Time at;
  };
  std::map<std::string, Sent> sent;
  std::optional<common::Time> revoked_at;
  int ran = 0;
  int broken = 0;
  int invented = 0;
  const auto serve = [&](const std::string& server, const Received& request) {
    if (const auto refusal = Misdirected(request, server)) {
      return *refusal;
    }
    const std::string* id =
        request.head.headers.Find("X-Wagtailshore-Attempt-Id");
    const Sent& caller = sent.at(id == nullptr ? "" : *id);
    ++ran;
    if (caller.key == "invented") {
      ++invented;
      record.Add("endpoint runs ", *id,
                 " with a key that no config ever held BROKEN");
    }
    if (caller.key == "revoked" && revoked_at.has_value()) {
      const bool late = caller.at > *revoked_at + kRevokeBound;
      broken += late ? 1 : 0;
      record.Add("endpoint runs ", *id, " with the revoked key, sent ",
                 common::ToMilliseconds(caller.at - *revoked_at),
                 " ms after the confirmation", late ? " BROKEN" : "");
    }
    return hosted_world::Plain(request, 200, "ok");
  };
  std::vector<std::unique_ptr<FakeEndpoint>> endpoints;
  CheckIns check_ins(loop, store);
  for (int i = 0; i < 2; ++i) {
    const std::string id = common::StrCat("i-", i);
    endpoints.push_back(std::make_unique<FakeEndpoint>(
        loop,
        [&serve, id](const Received& request) { return serve(id, request); }));
    check_ins.Add(id, endpoints.back()->address(), /*slots=*/6);
  }

  std::vector<std::string> fronts;
  std::vector<std::unique_ptr<Process>> gateways;
  for (int i = 0; i < 2; ++i) {
    const std::string ip = MachineIp(i);
    json settings =
        Settings(common::StrCat("edge-", i), "gateway", ip, store.address());
    fronts.push_back(common::StrCat(ip, ":", FreePort(loop, ip)));
    settings["listen"] = {
        {"front", fronts.back()},
        {"ready", common::StrCat(ip, ":", FreePort(loop, ip))}};
    gateways.push_back(std::make_unique<Process>(folder, settings));
    gateways.back()->Start();
  }

  Callers callers(loop);
  int number = 0;
  const auto ask = [&](int gateway, const std::string& key) {
    const std::string id = common::StrCat("a", ++number);
    sent[id] = {.key = key, .at = loop.Now()};
    http1::Headers headers;
    headers.Add("Host", "h.example");
    headers.Add("X-Wagtailshore-Attempt-Id", id);
    headers.Add("X-Wagtailshore-Deadline-Ms", "1500");
    headers.Add("Authorization", common::StrCat("Token ", key));
    callers.Send(fronts[gateway], "GET", "/safe/x", headers, "",
                 [&record, id, gateway, key](const auto& answer) {
                   record.Add("edge-", gateway, " answers ", id, " (", key,
                              ") ", answer.status);
                 });
  };
  const common::Time ready_by = loop.Now() + common::seconds(10);
  while (ran < 4 && loop.Now() < ready_by) {
    ask(0, "revoked");
    ask(1, "revoked");
    RunFor(loop, common::milliseconds(100));
  }
  if (ran < 4) {
    record.Add("the gateways do not serve");
    return kCouldNotRun;
  }
  RunFor(loop, common::seconds(1));

  // Without the trouble, the tenant stays and loses its key only.
  store.SetConfiguration(Configuration(
      2, trouble == "0" ? json{Tenant(json::array())} : json::array()));
  revoked_at = loop.Now();
  record.Add("the store confirms version 2, ",
             trouble == "0" ? "whose tenant has no key"
                            : "which has no tenant any more");
  while (loop.Now() < *revoked_at + kEnd) {
    for (int gateway = 0; gateway < 2; ++gateway) {
      ask(gateway, "revoked");
      ask(gateway, "invented");
    }
    RunFor(loop, common::milliseconds(50));
  }
  RunFor(loop, common::seconds(1));
  for (const auto& gateway : gateways) {
    if (!gateway->running()) {
      record.Add("a gateway ended by itself");
      return kCouldNotRun;
    }
  }
  record.Add("requests run: ", ran, "; with the revoked key, sent later than ",
             common::ToMilliseconds(kRevokeBound),
             " ms after the confirmation: ", broken,
             "; with a key that no config ever held: ", invented);
  std::cout << "TROUBLE=" << trouble << ": " << broken
            << " requests ran whose key had been revoked for longer than the "
               "bound, "
            << invented << " whose key no config ever held\n";
  return broken + invented > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace wagtailshore::review

int main() {
  return wagtailshore::review::Run();
}
