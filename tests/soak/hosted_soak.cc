// Injects random, overlapping faults into real gateways on loopback and checks
// what callers and endpoints observe. Usage: hosted_soak --seed=N --seconds=S
// With --changes, the configuration changes in quick succession instead, beside
// short silences of the store, and has to be in force in time after each.
// Prints the seed, the number of answers of each kind and every violation.
// Exits with 1 on violations, with 2 when it cannot create its folder.

#include <glog/logging.h>
#include <signal.h>
#include <tclap/CmdLine.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>

#include "common/strings.h"
#include "e2e/child_process.h"
#include "protocol/http1/serialize.h"
#include "soak/change_ledger.h"
#include "soak/demand_ledger.h"
#include "soak/soak_ledger.h"
#include "soak/tcp_proxy.h"
#include "support/hosted_world.h"

namespace wagtailshore::soak {
namespace {

using hosted_world::FakeEndpoint;
using hosted_world::Received;
using hosted_world::Reply;
using nlohmann::json;

constexpr int kGateways = 3;
constexpr int kEndpoints = 4;
constexpr int kCallers = 24;
constexpr common::Duration kRevocationBound = common::milliseconds(2000);
// While the configuration changes, so long that requests for routes that a
// gateway lacks are not refused for its age.
constexpr common::Duration kRevocationBoundOfChanges = common::seconds(5);
constexpr int kGraceSeconds = 4;
// Deadline of the callers' requests.
constexpr int kTimeLeftMs = 2500;
// After the faults have ended, requests must succeed again within this time,
// and the crashing content and part must not reach endpoints any more.
constexpr common::Duration kRecovery = common::seconds(8);
// Callers send this body now and then; it crashes every endpoint that runs it.
constexpr char kCrashingBody[] = "crash";
constexpr int kCrashingPercent = 2;
// A part of prompts that does so in requests of which no two are alike. Sound
// requests have the same first parts.
constexpr char kCrashingPart[] = "bad";
constexpr int kFirstParts = 3;
constexpr int kSecondParts = 10;
// Now and then an endpoint refuses a request and asks for this much rest.
constexpr common::Duration kRest = common::milliseconds(1500);
// Answers name their endpoint, and say whether it leaves.
constexpr char kEndpointHeader[] = "Endpoint";
constexpr char kLeavingHeader[] = "Server-Leaving";
// Within this time a gateway knows that an endpoint leaves.
constexpr common::Duration kDrainBound = common::seconds(2);
// Routes of this many versions stay in the configuration.
constexpr int kVersionsWithRoute = 40;
// Share of the repeatable requests that use the route of a version.
constexpr int kVersionRequestPercent = 70;
// Share of callers that leave early.
constexpr int kLeavingCallersPercent = 5;
// Endpoints that each of them may crash for each gateway process that was
// started: a gateway that is cut off from the store knows only its own crashes,
// and other endpoints that end at the same time look like an outage.
constexpr int kMaxCrashesPerGateway = 4;

int FreePort(event_loop::EventLoop& loop) {
  const auto listener =
      stream_socket::Listener::Open(loop, "127.0.0.1:0", [](int) {});
  return (*listener)->port();
}

// One gateway process, and the proxy between it and the store.
struct GatewayProcess {
  std::string caller_address;
  std::string settings_path;
  std::unique_ptr<TcpProxy> store_link;
  std::unique_ptr<e2e::ChildProcess> process;
  // Whether the test has sent a signal that ends the process.
  bool may_end = false;
  // Whether the process is paused by SIGSTOP.
  bool paused = false;
  // Its position among the gateways.
  int index = 0;
};

struct EndpointProcess {
  std::string id;
  // Whether its answers say that it leaves.
  bool leaving = false;
  int incarnation = 0;
  std::unique_ptr<FakeEndpoint> server;
  std::unique_ptr<TcpProxy> link;
};

class Caller final : public http_channel::ExchangeListener {
 public:
  http_channel::ResponseOrigin OnHead(
      const http1::ResponseHead& head) override {
    answer.status = head.status;
    answer.headers = head.headers;
    on_head(*this);
    return http_channel::ResponseOrigin::kThisExchange;
  }
  void OnBody(std::string_view data) override { answer.body += data; }
  void OnComplete() override {
    answer.complete = true;
    busy = false;
    channel = nullptr;
  }
  void OnFailed(const http_channel::ExchangeFailure&) override {
    busy = false;
    channel = nullptr;
  }

  std::function<void(const Caller&)> on_head;
  std::string id;
  int gateway = 0;
  // Version of the configuration whose route the request uses, if any.
  std::optional<int> version;
  // First part of the request's prompt.
  std::string first_part;
  hosted_world::CallerAnswer answer;
  http_channel::EndpointChannel* channel = nullptr;
  common::Time timeout_at{};
  bool busy = false;
};

class Soak {
 public:
  Soak(uint64_t seed,
       const std::string& folder,
       common::Duration revocation_bound)
      : folder_(folder),
        random_(seed),
        revocation_bound_(revocation_bound),
        store_(loop_),
        pool_(loop_, {}) {
    for (int i = 0; i < 6; ++i) {
      keys_.push_back(common::StrCat("key", i));
    }
    Configure();
    endpoints_.resize(kEndpoints);
    for (int i = 0; i < kEndpoints; ++i) {
      StartEndpoint(i);
    }
    gateways_.resize(kGateways);
    for (GatewayProcess& gateway : gateways_) {
      gateway.index = static_cast<int>(&gateway - gateways_.data());
      gateway.store_link = std::make_unique<TcpProxy>(loop_, store_.address());
      gateway.caller_address = common::StrCat("127.0.0.1:", FreePort(loop_));
      StartGateway(gateway);
    }
    callers_.resize(kCallers);
    for (Caller& caller : callers_) {
      caller.on_head = [this](const Caller& answered) { OnHead(answered); };
    }
  }

  bool Run(common::Duration length) {
    const common::Time start = loop_.Now();
    RunFor(common::seconds(2));
    while (loop_.Now() < start + length) {
      StartFault();
      RunFor(common::milliseconds(Pick(50, 500)));
    }
    faults_ended_ = true;
    RunFor(kRecovery);
    const int before = ledger_.complete();
    const std::map<std::string, int> crashes_before = ledger_.crashes();
    served_parts_.clear();
    RunFor(common::seconds(2));
    for (const auto& [factor, crashes] : ledger_.crashes()) {
      const auto earlier = crashes_before.find(factor);
      if (earlier == crashes_before.end() || crashes > earlier->second) {
        ledger_.OnViolation(common::StrCat(
            factor, " reached an endpoint after the recovery time"));
      }
      if (crashes > kMaxCrashesPerGateway * settings_made_) {
        ledger_.OnViolation(
            common::StrCat(factor, " crashed ", crashes, " endpoints through ",
                           settings_made_, " gateway processes"));
      }
    }
    if (served_parts_.size() < kFirstParts) {
      ledger_.OnViolation(common::StrCat("only ", served_parts_.size(),
                                         " first parts of prompts are served"));
    }
    if (ledger_.complete() < before + 20) {
      ledger_.OnViolation(
          "fewer than 20 complete answers in 2 s after the faults ended");
    }
    return Stop();
  }

  // Changes the configuration all the while and checks, after each of some
  // short silences of the store, that gateways follow in time.
  bool RunChanges(common::Duration length) {
    faults_ended_ = true;
    RunFor(common::seconds(2));
    const common::Time end = loop_.Now() + length;
    next_change_at_ = loop_.Now();
    // Long polls wait for their own time.
    store_.set_feed_wait(length);
    while (loop_.Now() < end) {
      SilenceStore();
      // Beyond the window in which gateways are excused.
      RunFor(common::milliseconds(Pick(4200, 5000)));
    }
    next_change_at_.reset();
    if (versions_asked_ == 0) {
      ledger_.OnViolation("no request for a route that had to be in force");
    }
    return Stop();
  }

  const SoakLedger& ledger() const { return ledger_; }
  const DemandLedger& demands() const { return demands_; }
  int versions_asked() const { return versions_asked_; }

 private:
  bool Stop() {
    stopping_ = true;
    RunFor(common::milliseconds(kTimeLeftMs + 500));
    CheckGracefulStop();
    ledger_.Finish();
    return ledger_.violations().empty();
  }

  int Pick(int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(random_);
  }
  bool Happens(int percent) { return Pick(1, 100) <= percent; }

  void RunFor(common::Duration length) {
    const common::Time end = loop_.Now() + length;
    while (loop_.Now() < end) {
      loop_.RunAfter(common::milliseconds(5), [this] { loop_.Stop(); });
      loop_.Run();
      DriveCallers();
      CheckProcesses();
    }
  }

  // Writes the next version, with a route of its own.
  void Configure() {
    json configuration = hosted_world::HostedWorld::Configuration(++version_);
    configuration["tenants"][0]["api_keys"] = keys_;
    json& routes = configuration["routes"];
    for (int version = std::max(1, version_ - kVersionsWithRoute);
         version <= version_; ++version) {
      json route = routes[0];
      route["prefix"] = VersionPath(version);
      routes.push_back(std::move(route));
    }
    store_.SetConfiguration(configuration);
    changes_.OnConfirmed(version_, loop_.Now());
  }
  static std::string VersionPath(int version) {
    return common::StrCat("/version-", version, "/");
  }

  void SilenceStore() {
    switch (Pick(0, 2)) {
      case 0:
        store_.set_silent(true);
        RunFor(common::milliseconds(Pick(100, 800)));
        store_.set_silent(false);
        break;
      case 1:
        store_.set_feeds_lost(true);
        RunFor(common::milliseconds(Pick(300, 800)));
        store_.set_feeds_lost(false);
        break;
      default:
        for (GatewayProcess& gateway : gateways_) {
          gateway.store_link->SetFault(LinkFault::kSilenceOpen);
        }
    }
    for (const GatewayProcess& gateway : gateways_) {
      changes_.OnDisturbed(gateway.index, loop_.Now());
    }
  }

  // Time at which what the event loop handles now has arrived, at the earliest.
  common::Time ArrivalTime() const { return loop_.Now() - loop_.busy_for(); }

  void OnHead(const Caller& caller) {
    const std::string* endpoint = caller.answer.headers.Find(kEndpointHeader);
    if (endpoint != nullptr &&
        caller.answer.headers.Find(kLeavingHeader) != nullptr) {
      demands_.OnLeavingPassedOn(caller.gateway, *endpoint, loop_.Now());
    }
  }

  void StartEndpoint(int index) {
    EndpointProcess& endpoint = endpoints_[index];
    endpoint.leaving = false;
    if (!endpoint.id.empty()) {
      store_.RemoveEndpoint(endpoint.id);
      endpoint.server->Crash();
      endpoint.link->Stop();
      ended_endpoints_.push_back(std::move(endpoint.server));
      ended_links_.push_back(std::move(endpoint.link));
    }
    endpoint.id = common::StrCat("e", index, "-", ++endpoint.incarnation);
    endpoint.server = std::make_unique<FakeEndpoint>(
        loop_, [this, index, id = endpoint.id](const Received& request) {
          return Serve(index, id, request);
        });
    endpoint.link =
        std::make_unique<TcpProxy>(loop_, endpoint.server->address());
    store_.SetEndpoint(endpoint.id, {{"service", "s"},
                                     {"address", endpoint.link->address()},
                                     {"zone", "z"},
                                     {"slots", 4},
                                     {"state", "ready"},
                                     {"born", endpoint.incarnation}});
  }

  void StartGateway(GatewayProcess& gateway) {
    gateway.settings_path =
        folder_ + "/" + std::to_string(++settings_made_) + ".json";
    std::ofstream(gateway.settings_path)
        << json{{"node_name", gateway.caller_address},
                {"zone", "z"},
                {"ip", "127.0.0.1"},
                {"listen", {{"front", gateway.caller_address}}},
                {"platform", {{"address", gateway.store_link->address()}}},
                {"bounds",
                 {{"revoke_ms", common::ToMilliseconds(revocation_bound_)},
                  {"grace_s", kGraceSeconds},
                  {"retry_allowance", 200}}}};
    setenv("WAGTAILSHORE_SETTINGS", gateway.settings_path.c_str(), 1);
    gateway.process = std::make_unique<e2e::ChildProcess>(
        std::vector<std::string>{DAEMON_PATH, "--role=gateway"},
        gateway.settings_path + ".log");
    gateway.may_end = false;
    gateway.paused = false;
    demands_.OnGatewayDisturbed(gateway.index);
  }

  // Crashes the endpoint after the callbacks in progress, unless it has been
  // replaced meanwhile.
  void CrashEndpoint(int index,
                     const std::string& id,
                     const std::string& factor) {
    loop_.Post([this, index, id, factor] {
      if (endpoints_[index].id == id) {
        ledger_.OnCrash(factor);
        StartEndpoint(index);
      }
    });
  }

  Reply Serve(int index,
              const std::string& endpoint_id,
              const Received& request) {
    const std::string* id =
        request.head.headers.Find("X-Wagtailshore-Attempt-Id");
    const std::string* expected =
        request.head.headers.Find("X-Wagtailshore-Expect-Instance");
    if (expected == nullptr || *expected != endpoint_id) {
      return {.bytes = common::StrCat(
                  HeadOf(request, 421, "Content-Length: 0\r\n"), "\r\n")};
    }
    const auto sent = sent_.find(*id);
    if (sent != sent_.end()) {
      demands_.OnArrival({.gateway = sent->second.gateway,
                          .endpoint = endpoint_id,
                          .request = *id,
                          .sent_at = sent->second.at,
                          .at = ArrivalTime()});
    }
    Reply reply = Answer(index, endpoint_id, request, *id);
    const size_t status_end = reply.bytes.find("\r\n");
    if (status_end != std::string::npos) {
      reply.bytes.insert(
          status_end + 2,
          common::StrCat(kEndpointHeader, ": ", endpoint_id, "\r\n",
                         endpoints_[index].leaving
                             ? common::StrCat(kLeavingHeader, ": 1\r\n")
                             : std::string()));
    }
    return reply;
  }

  // A refusal that asks the gateway for rest.
  Reply AskForRest(const std::string& endpoint_id,
                   const EndpointProcess& endpoint,
                   const Received& request,
                   const std::string& id) {
    const auto sent = sent_.find(id);
    if (sent != sent_.end() && endpoint.link->fault() == LinkFault::kNone &&
        !gateways_[sent->second.gateway].paused) {
      demands_.OnRest(sent->second.gateway, endpoint_id, loop_.Now(), kRest);
    }
    return {.bytes = common::StrCat(
                HeadOf(request, 503,
                       common::StrCat(
                           "X-Wagtailshore-Not-Executed: 1\r\nRetry-After: ",
                           std::chrono::duration<double>(kRest).count(),
                           "\r\nContent-Length: 0\r\n")),
                "\r\n")};
  }

  Reply Answer(int index,
               const std::string& endpoint_id,
               const Received& request,
               const std::string& id) {
    const int chance = faults_ended_ ? 100 : Pick(1, 100);
    if (chance == 1) {
      return AskForRest(endpoint_id, endpoints_[index], request, id);
    }
    if (chance <= 4) {
      return hosted_world::Refusal(request);
    }
    ledger_.OnRun(id, loop_.Now());
    if (request.body == kCrashingBody) {
      CrashEndpoint(index, endpoint_id, "the crashing content");
      return {};
    }
    const std::string* parts =
        request.head.headers.Find("X-Wagtailshore-Prompt-Prefix");
    if (parts != nullptr && parts->find(kCrashingPart) != std::string::npos) {
      CrashEndpoint(index, endpoint_id, "the crashing part");
      return {};
    }
    if (chance <= 6) {
      return {.reset = true};
    }
    if (chance <= 8) {
      return {};
    }
    return request.head.target.starts_with("/stream/")
               ? ServeStream(request, id, chance)
               : ServePlain(request, id, chance);
  }

  Reply ServePlain(const Received& request, const std::string& id, int chance) {
    Reply reply = hosted_world::Plain(request, 200, SoakLedger::BodyOf(id));
    if (chance <= 10) {
      reply.bytes.resize(reply.bytes.size() - 3);
      reply.reset = true;
    } else if (chance <= 12) {
      reply.bytes += reply.bytes;
    } else if (chance <= 14) {
      reply = hosted_world::Plain(request, 500, "error");
    }
    return reply;
  }

  Reply ServeStream(const Received& request,
                    const std::string& id,
                    int chance) {
    const std::string* after = request.head.headers.Find("Last-Event-Id");
    const int first = after == nullptr ? 0 : std::stoi(*after) + 1;
    const bool cut = chance <= 16;
    const int end =
        cut ? Pick(first, SoakLedger::kEvents) : SoakLedger::kEvents;
    std::string bytes = common::StrCat(
        HeadOf(request, 200, "Transfer-Encoding: chunked\r\n"), "\r\n");
    for (int event = first; event < end; ++event) {
      bytes += http1::FormatChunk(common::StrCat(
          "id: ", event, "\ndata: ", SoakLedger::BodyOf(id), "\n\n"));
    }
    if (cut) {
      bytes += http1::FormatChunk("id: 99\nda");
    } else {
      bytes += http1::kLastChunk;
    }
    return {.bytes = std::move(bytes), .reset = cut};
  }

  void DriveCallers() {
    const common::Time now = loop_.Now();
    if (next_change_at_.has_value() && now >= *next_change_at_) {
      Configure();
      next_change_at_ = now + common::milliseconds(Pick(200, 600));
    }
    for (Caller& caller : callers_) {
      if (caller.busy && now >= caller.timeout_at) {
        caller.channel->Abandon();
        caller.busy = false;
        const GatewayProcess& gateway = gateways_[caller.gateway];
        if (!gateway.paused && !gateway.may_end) {
          demands_.OnCallerLeft(caller.gateway, caller.id, now);
        }
      }
      if (caller.busy) {
        continue;
      }
      if (!caller.id.empty()) {
        ledger_.OnAnswer(caller.id, caller.answer);
        if (caller.version.has_value() && caller.answer.status == 404) {
          ledger_.OnViolation(common::StrCat(
              "gateway ", caller.gateway, " does not have version ",
              *caller.version, " in force; request ", caller.id));
        }
        if (caller.answer.status == 200 && caller.answer.complete) {
          served_parts_.insert(caller.first_part);
        }
        caller.id.clear();
      }
      if (!stopping_ && Happens(20)) {
        Ask(caller);
      }
    }
  }

  void Ask(Caller& caller) {
    constexpr std::array kPaths = {"/safe/x", "/once/x", "/stream/x"};
    const auto kind = static_cast<SoakKind>(Pick(0, 2));
    const std::string key =
        all_keys_[Pick(0, static_cast<int>(all_keys_.size()) - 1)];
    caller.id = common::StrCat("r", ++requests_);
    caller.answer = {};
    caller.busy = true;
    caller.timeout_at =
        loop_.Now() + common::milliseconds(Happens(kLeavingCallersPercent)
                                               ? Pick(0, 200)
                                               : kTimeLeftMs + 300);
    caller.gateway = Pick(0, kGateways - 1);
    caller.version.reset();
    std::string path = kPaths.at(static_cast<size_t>(kind));
    if (next_change_at_.has_value() && kind == SoakKind::kSafe &&
        Happens(kVersionRequestPercent)) {
      caller.version = changes_.DueVersion(caller.gateway, loop_.Now());
    }
    if (caller.version.has_value()) {
      ++versions_asked_;
      path = VersionPath(*caller.version) + "x";
    }
    sent_[caller.id] = {.gateway = caller.gateway, .at = loop_.Now()};
    ledger_.OnSent(caller.id,
                   {.kind = kind, .key = key, .sent_at = loop_.Now()});
    http1::Headers headers;
    headers.Add("Host", "h.example");
    headers.Add("X-Wagtailshore-Attempt-Id", caller.id);
    headers.Add("X-Wagtailshore-Deadline-Ms", common::StrCat(kTimeLeftMs));
    headers.Add("Authorization", common::StrCat("Token ", key));
    const bool has_bad_part = Happens(kCrashingPercent);
    caller.first_part = common::StrCat("f", Pick(0, kFirstParts - 1));
    headers.Add(
        "X-Wagtailshore-Prompt-Prefix",
        common::StrCat(caller.first_part, ":40,",
                       has_bad_part ? std::string(kCrashingPart)
                                    : common::StrCat(Pick(0, kSecondParts - 1)),
                       ":400,", requests_, ":200"));
    std::string body = "body";
    if (has_bad_part) {
      body = common::StrCat("body ", requests_);
    } else if (Happens(kCrashingPercent)) {
      body = kCrashingBody;
    }
    const GatewayProcess& gateway = gateways_[caller.gateway];
    caller.channel =
        &pool_.Acquire(gateway.caller_address, gateway.caller_address);
    caller.channel->SetIdleLimit(common::seconds(10));
    caller.channel->Send(http1::FormatRequest("POST", path, headers, body),
                         caller, false);
  }

  void CheckProcesses() {
    for (GatewayProcess& gateway : gateways_) {
      const auto code = gateway.process->WaitForExit(common::Duration::zero());
      if (!code.has_value()) {
        continue;
      }
      if (!gateway.may_end) {
        ledger_.OnViolation(
            common::StrCat("a gateway exited unexpectedly, code ", *code,
                           " log ", gateway.settings_path, ".log"));
      }
      StartGateway(gateway);
    }
  }

  void StartFault() {
    switch (Pick(0, 9)) {
      case 0:
      case 1:
        InjectLinkFault(*endpoints_[Pick(0, kEndpoints - 1)].link);
        return;
      case 2:
        InjectLinkFault(*gateways_[Pick(0, kGateways - 1)].store_link);
        return;
      case 3:
        store_.set_down(true);
        loop_.RunAfter(common::milliseconds(Pick(100, 3000)),
                       [this] { store_.set_down(false); });
        return;
      case 4:
        Pause(gateways_[Pick(0, kGateways - 1)]);
        return;
      case 5:
        End(gateways_[Pick(0, kGateways - 1)], SIGKILL);
        return;
      case 6:
        End(gateways_[Pick(0, kGateways - 1)], SIGTERM);
        return;
      case 7:
        StartEndpoint(Pick(0, kEndpoints - 1));
        return;
      case 8:
        Leave(Pick(0, kEndpoints - 1));
        return;
      default:
        ChangeKeys();
        return;
    }
  }

  // The endpoint says that it leaves, without a change of its entry, and is
  // replaced later.
  void Leave(int index) {
    EndpointProcess& endpoint = endpoints_[index];
    if (endpoint.leaving) {
      return;
    }
    endpoint.leaving = true;
    loop_.RunAfter(common::milliseconds(Pick(500, 5000)),
                   [this, index, id = endpoint.id] {
                     if (endpoints_[index].id == id) {
                       StartEndpoint(index);
                     }
                   });
  }

  void InjectLinkFault(TcpProxy& link) {
    for (const EndpointProcess& endpoint : endpoints_) {
      if (endpoint.link.get() == &link) {
        demands_.OnEndpointDisturbed(endpoint.id);
      }
    }
    link.SetFault(static_cast<LinkFault>(Pick(1, 5)));
    // The proxy may be replaced before the fault ends, so the callback first
    // checks that it is still in use.
    loop_.RunAfter(common::milliseconds(Pick(100, 3000)), [this, &link] {
      for (const EndpointProcess& endpoint : endpoints_) {
        if (endpoint.link.get() == &link) {
          link.SetFault(LinkFault::kNone);
          demands_.OnEndpointDisturbed(endpoint.id);
        }
      }
      for (const GatewayProcess& gateway : gateways_) {
        if (gateway.store_link.get() == &link) {
          link.SetFault(LinkFault::kNone);
        }
      }
    });
  }

  void Pause(GatewayProcess& gateway) {
    if (gateway.paused) {
      return;
    }
    gateway.paused = true;
    gateway.process->Signal(SIGSTOP);
    demands_.OnGatewayDisturbed(gateway.index);
    loop_.RunAfter(common::milliseconds(Pick(100, 4000)), [this, &gateway] {
      if (gateway.paused) {
        gateway.process->Signal(SIGCONT);
        gateway.paused = false;
        demands_.OnGatewayDisturbed(gateway.index);
      }
    });
  }

  void End(GatewayProcess& gateway, int signal) {
    demands_.OnGatewayDisturbed(gateway.index);
    gateway.may_end = true;
    gateway.process->Signal(signal);
    if (gateway.paused) {
      gateway.process->Signal(SIGCONT);
      gateway.paused = false;
    }
  }

  void ChangeKeys() {
    if (keys_.size() > 2 && Happens(60)) {
      const std::string revoked = keys_.back();
      keys_.pop_back();
      Configure();
      ledger_.OnKeyRevoked(revoked, loop_.Now());
    } else {
      keys_.insert(keys_.begin(), common::StrCat("new", ++requests_));
      all_keys_.push_back(keys_.front());
      Configure();
    }
  }

  void CheckGracefulStop() {
    for (GatewayProcess& gateway : gateways_) {
      gateway.may_end = true;
      gateway.process->Signal(SIGTERM);
    }
    for (GatewayProcess& gateway : gateways_) {
      const auto code =
          gateway.process->WaitForExit(common::seconds(kGraceSeconds));
      if (code != 0) {
        ledger_.OnViolation(
            "a gateway did not exit with code 0 in time after SIGTERM");
      }
    }
  }

  std::string folder_;
  std::mt19937_64 random_;
  common::Duration revocation_bound_;
  event_loop::EventLoop loop_;
  hosted_world::FakeStore store_;
  http_channel::EndpointPool pool_;
  std::vector<EndpointProcess> endpoints_;
  // Ended endpoints and their links, which timers of the event loop still refer
  // to.
  std::vector<std::unique_ptr<FakeEndpoint>> ended_endpoints_;
  std::vector<std::unique_ptr<TcpProxy>> ended_links_;
  std::vector<GatewayProcess> gateways_;
  std::vector<Caller> callers_;
  SoakLedger ledger_{revocation_bound_};
  DemandLedger demands_{kDrainBound, [this](const std::string& what) {
                          ledger_.OnViolation(what);
                        }};
  ChangeLedger changes_{{}};
  // When the configuration changes next; unset while it changes at random only.
  std::optional<common::Time> next_change_at_;
  // Requests for routes of versions that had to be in force.
  int versions_asked_ = 0;
  // What was sent, by id.
  struct Sent {
    int gateway = 0;
    common::Time at{};
  };
  std::map<std::string, Sent> sent_;
  std::vector<std::string> keys_;
  // Includes revoked keys, which callers continue to use.
  std::vector<std::string> all_keys_ = {"key0", "key1", "key2",
                                        "key3", "key4", "key5"};
  int version_ = 0;
  int requests_ = 0;
  int settings_made_ = 0;
  // First parts of prompts that were answered lately.
  std::set<std::string> served_parts_;
  bool faults_ended_ = false;
  bool stopping_ = false;
};

int Main(int argc, char** argv) {
  google::InitGoogleLogging(argv[0]);
  signal(SIGPIPE, SIG_IGN);
  TCLAP::CmdLine line("Injects random faults into real gateways.", '=', "1");
  TCLAP::ValueArg<uint64_t> seed("", "seed", "seed of the random faults", false,
                                 1, "number", line);
  TCLAP::ValueArg<int> seconds("", "seconds",
                               "duration of the faults in seconds", false, 12,
                               "number", line);
  TCLAP::SwitchArg changes(
      "", "changes",
      "change the configuration beside short silences of the store instead",
      line);
  line.parse(argc, argv);
  std::string folder =
      std::filesystem::temp_directory_path() /
      common::StrCat("hosted_soak_", seed.getValue(), "_XXXXXX");
  if (mkdtemp(folder.data()) == nullptr) {
    std::cerr << "cannot create a temporary folder for logs\n";
    return 2;
  }
  const common::Duration length = common::seconds(seconds.getValue());
  Soak soak(seed.getValue(), folder,
            changes.getValue() ? kRevocationBoundOfChanges : kRevocationBound);
  const bool passed =
      changes.getValue() ? soak.RunChanges(length) : soak.Run(length);
  const SoakLedger& ledger = soak.ledger();
  std::cout << "seed " << seed.getValue() << ": " << ledger.complete()
            << " complete, " << ledger.refused() << " refused, "
            << ledger.other() << " other; " << soak.demands().rests()
            << " rests, " << soak.demands().leavings() << " endpoints leaving, "
            << soak.demands().departures() << " callers gone, "
            << soak.versions_asked() << " requests for new routes\n";
  for (const std::string& violation : ledger.violations()) {
    std::cout << "violation: " << violation << "\n";
  }
  if (passed) {
    std::filesystem::remove_all(folder);
    return 0;
  }
  std::cout << "logs: " << folder << "\n";
  return 1;
}

}  // namespace
}  // namespace wagtailshore::soak

int main(int argc, char** argv) {
  return wagtailshore::soak::Main(argc, argv);
}
