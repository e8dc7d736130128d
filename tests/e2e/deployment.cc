#include "e2e/deployment.h"

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <thread>
#include <utility>

#include "common/digest.h"
#include "common/strings.h"
#include "protocol/manifest_codec/manifest_codec.h"
#include "transport/http_client/http_client.h"

namespace wagtailshore::e2e {
namespace {

constexpr int kDomains = 3;
constexpr int kCallerPort = 7000;
constexpr int kTrafficPort = 7100;
constexpr int kPeerPort = 7200;
constexpr int kAdminPort = 7300;
constexpr int kStandinPort = 7600;
constexpr int kOk = 200;
constexpr common::Duration kStartTimeout = common::seconds(20);
constexpr common::Duration kPollPeriod = common::milliseconds(20);
constexpr common::Duration kSubmitTimeout = common::seconds(10);

// Kinds of processes. The last octet of a process's address includes ten times
// this code plus the process's number.
struct Kind {
  const char* prefix;
  int code;
};
constexpr Kind kKinds[] = {{"entry", 1}, {"engine", 2},   {"model", 3},
                           {"print", 4}, {"platform", 5}, {"service", 6}};

// Returns the digit at the end of a process's name, or 0 without one.
int NumberOf(const std::string& name) {
  const char last = name.back();
  return last >= '0' && last <= '9' ? last - '0' : 0;
}

bool IsKind(const std::string& name, const char* prefix) {
  return name.starts_with(prefix);
}

std::string Url(const std::string& address) {
  return common::StrCat("http://", address);
}

std::string NewLogFolder() {
  std::string folder = "/tmp/wagtailshore-e2e-XXXXXX";
  return mkdtemp(folder.data()) == nullptr ? std::string("/tmp") : folder;
}

}  // namespace

Deployment::Deployment(DeploymentOptions options)
    : options_(std::move(options)), log_folder_(NewLogFolder()) {}

std::string Deployment::Address(const std::string& name, int port) const {
  constexpr int kPerNumber = 250;
  const int pid = getpid();
  int process_octet = 0;
  for (const Kind& kind : kKinds) {
    if (IsKind(name, kind.prefix)) {
      process_octet = kind.code * 10 + NumberOf(name);
    }
  }
  return common::StrCat("127.", 10 + pid / kPerNumber / kPerNumber % 40, ".",
                        pid / kPerNumber % kPerNumber, ".",
                        process_octet + 70 * (pid % kDomains), ":",
                        port + pid % kPerNumber / kDomains);
}

std::string Deployment::CallerUrl(const std::string& entry) const {
  return Url(Address(entry, kCallerPort));
}

std::string Deployment::TrafficAddress(const std::string& name) const {
  return Address(name, IsKind(name, "entry") ? kCallerPort : kTrafficPort);
}

std::string Deployment::AdminUrl(const std::string& name) const {
  return Url(Address(name, kAdminPort));
}

std::string Deployment::StandinUrl(const std::string& name) const {
  return Url(Address(name, kStandinPort));
}

std::vector<std::string> Deployment::DaemonCommand(
    const std::string& name,
    const std::string& role) const {
  return {DAEMON_PATH,
          "--role=" + role,
          "--name=" + name,
          common::StrCat("--failure-domain=d", NumberOf(name)),
          "--peer-address=" + Address(name, kPeerPort),
          "--admin-address=" + Address(name, kAdminPort),
          "--platform-url=" + StandinUrl("platform"),
          "--seeds=" + Address("entry1", kPeerPort) + "," +
              Address("entry2", kPeerPort) + "," +
              Address("entry3", kPeerPort)};
}

std::vector<std::string> Deployment::CommandFor(const std::string& name) const {
  const std::string standin_address =
      "--address=" + Address(name, kStandinPort);
  if (IsKind(name, "platform")) {
    return {PLATFORM_PATH, standin_address};
  }
  if (IsKind(name, "service")) {
    return {SERVICE_PATH, standin_address,
            common::StrCat("--call-ms=",
                           common::ToMilliseconds(options_.call_time))};
  }
  if (IsKind(name, "engine")) {
    return {ENGINE_PATH, standin_address,
            common::StrCat("--token-ms=",
                           common::ToMilliseconds(options_.token_time))};
  }
  if (IsKind(name, "entry")) {
    auto command = DaemonCommand(name, "entry");
    command.push_back("--caller-address=" + Address(name, kCallerPort));
    command.push_back("--drain-notice=500");
    command.push_back(
        common::StrCat("--progress-timeout=",
                       common::ToMilliseconds(options_.progress_timeout)));
    command.insert(command.end(), options_.entry_flags.begin(),
                   options_.entry_flags.end());
    return command;
  }
  auto command = DaemonCommand(name, "endpoint");
  command.push_back("--traffic-address=" + Address(name, kTrafficPort));
  if (IsKind(name, "print")) {
    command.push_back("--service-url=" + StandinUrl("service"));
  } else {
    command.push_back("--engine-url=" +
                      StandinUrl(common::StrCat("engine", NumberOf(name))));
  }
  return command;
}

void Deployment::Launch(const std::string& name, const std::string& new_name) {
  std::vector<std::string> command = CommandFor(name);
  if (!new_name.empty()) {
    std::replace(command.begin(), command.end(), "--name=" + name,
                 "--name=" + new_name);
  }
  processes_[name] = std::make_unique<ChildProcess>(
      command, common::StrCat(log_folder_, "/", name, ".log"));
}

absl::Status Deployment::Start() {
  Launch("platform");
  Launch("service");
  if (!WaitUntilOk(StandinUrl("platform") + "/instances", kStartTimeout) ||
      !WaitUntilOk(StandinUrl("service") + "/runs", kStartTimeout)) {
    return absl::UnavailableError("a stand-in did not start within 20 s");
  }
  for (int i = 1; i <= kDomains; ++i) {
    for (const char* kind : {"engine", "model", "print", "entry"}) {
      Launch(common::StrCat(kind, i));
    }
  }
  for (int i = 1; i <= kDomains; ++i) {
    for (const char* kind : {"model", "print", "entry"}) {
      const std::string name = common::StrCat(kind, i);
      if (!WaitUntilOk(AdminUrl(name) + "/healthz", kStartTimeout)) {
        return absl::UnavailableError(name + " did not start within 20 s");
      }
    }
  }
  const auto submitted = Submit("entry1", 0, BaseManifest());
  if (!submitted.ok()) {
    return submitted.status();
  }
  for (int i = 1; i <= kDomains; ++i) {
    const std::string name = common::StrCat("entry", i);
    if (!WaitUntilOk(AdminUrl(name) + "/readyz", kStartTimeout)) {
      return absl::UnavailableError(name + " had no manifest within 20 s");
    }
  }
  return absl::OkStatus();
}

ChildProcess* Deployment::Find(const std::string& name) {
  const auto found = processes_.find(name);
  return found == processes_.end() ? nullptr : found->second.get();
}

absl::Status Deployment::Restart(const std::string& name,
                                 const std::string& new_name) {
  processes_.erase(name);
  Launch(name, new_name);
  const bool standin = IsKind(name, "platform") || IsKind(name, "service") ||
                       IsKind(name, "engine");
  if (!standin && !WaitUntilOk(AdminUrl(name) + "/healthz", kStartTimeout)) {
    return absl::UnavailableError(name + " did not restart within 20 s");
  }
  return absl::OkStatus();
}

absl::StatusOr<std::string> Deployment::Submit(
    const std::string& entry,
    uint64_t base,
    const manifest::Manifest& manifest) const {
  const auto outcome = http_client::Call(
      {.method = "POST",
       .url = common::StrCat(AdminUrl(entry), "/manifest?base=", base),
       .body = manifest_codec::Format(manifest)},
      kSubmitTimeout);
  if (const auto* failure = std::get_if<http_client::CallFailure>(&outcome)) {
    return absl::UnavailableError(failure->reason);
  }
  const auto& reply = std::get<http_client::Reply>(outcome);
  if (reply.status != kOk) {
    return absl::FailedPreconditionError(reply.body);
  }
  return reply.body;
}

manifest::Manifest Deployment::BaseManifest() const {
  manifest::Manifest manifest;
  manifest.groups = {{.name = "group",
                      .model = "model",
                      .ranks = kDomains,
                      .experts = kDomains,
                      .slots_per_rank = 2}};
  manifest.services = {{.name = "printing", .non_idempotent_calls = {"print"}}};
  manifest.customers = {{.name = "one",
                         .key_sha256 = common::Sha256Hex(kCustomerKey),
                         .requests_per_second = 1000},
                        {.name = "two",
                         .key_sha256 = common::Sha256Hex(kOtherCustomerKey),
                         .requests_per_second = 1000,
                         .new_customer = true}};
  for (int i = 1; i <= kDomains; ++i) {
    const std::string domain = common::StrCat("d", i);
    const std::string model = common::StrCat("model", i);
    const std::string print = common::StrCat("print", i);
    manifest.endpoints.push_back(
        {.name = model,
         .failure_domain = domain,
         .traffic_address = Address(model, kTrafficPort),
         .peer_address = Address(model, kPeerPort),
         .duty = manifest::GroupRank{.group = "group", .rank = i - 1}});
    manifest.endpoints.push_back(
        {.name = print,
         .failure_domain = domain,
         .traffic_address = Address(print, kTrafficPort),
         .peer_address = Address(print, kPeerPort),
         .duty = manifest::ServiceReplica{.service = "printing"}});
  }
  return manifest;
}

bool WaitUntilOk(const std::string& url, common::Duration timeout) {
  const common::Time deadline = common::Clock::now() + timeout;
  while (common::Clock::now() < deadline) {
    const auto outcome = http_client::Call({.url = url}, common::seconds(1));
    const auto* reply = std::get_if<http_client::Reply>(&outcome);
    if (reply != nullptr && reply->status == kOk) {
      return true;
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
  return false;
}

}  // namespace wagtailshore::e2e
