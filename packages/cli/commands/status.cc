#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "cli/commands/admin_call.h"
#include "cli/commands/command_line.h"

namespace wagtailshore::commands {
namespace {

using Json = nlohmann::json;

// The state of a failure domain, merged from the dumps of the queried entries.
struct DomainStatus {
  uint64_t lowest_version = 0;
  uint64_t highest_version = 0;
  // Time for which all its processes have had their version, in milliseconds.
  int64_t in_force_for_ms = 0;
  std::set<std::string> processes;
  std::set<std::string> leaving;
};

struct Status {
  std::map<std::string, DomainStatus> failure_domains;
  std::set<std::string> groups;
  std::set<std::string> endpoints;
  Json quarantined = Json::array();
};

void AddProcess(const Json& process,
                uint64_t version,
                int64_t in_force_for_ms,
                Status& status) {
  DomainStatus& domain =
      status.failure_domains[process.value("failure_domain", "")];
  const bool first = domain.processes.empty();
  domain.lowest_version =
      first ? version : std::min(domain.lowest_version, version);
  domain.highest_version = std::max(domain.highest_version, version);
  domain.in_force_for_ms =
      first ? in_force_for_ms
            : std::min(domain.in_force_for_ms, in_force_for_ms);
  const std::string name = process.value("name", "");
  domain.processes.insert(name);
  if (process.value("leaving", false)) {
    domain.leaving.insert(name);
  }
  if (process.value("role", "") == "endpoint") {
    status.endpoints.insert(name);
  }
}

void AddDump(const Json& dump, Status& status) {
  const Json manifest = dump.value("manifest", Json::object());
  AddProcess(dump, manifest.value("version", uint64_t{0}),
             manifest.value("in_force_for_ms", int64_t{0}), status);
  for (const Json& peer : dump.value("peers", Json::array())) {
    AddProcess(peer, peer.value("manifest_version", uint64_t{0}),
               peer.value("manifest_version_for_ms", int64_t{0}), status);
  }
  if (dump.contains("quarantine")) {
    status.quarantined.push_back(dump.at("quarantine"));
  }
}

Json ToJson(const Status& status) {
  Json json = {{"failure_domains", Json::object()},
               {"groups", status.groups},
               {"endpoints", status.endpoints},
               {"quarantined", status.quarantined}};
  for (const auto& [name, domain] : status.failure_domains) {
    json["failure_domains"][name] = {
        {"lowest_version", domain.lowest_version},
        {"highest_version", domain.highest_version},
        {"in_force_for_ms", domain.in_force_for_ms},
        {"processes", domain.processes},
        {"leaving", domain.leaving}};
  }
  return json;
}

void PrintNames(const char* what,
                const std::set<std::string>& names,
                std::ostream& out) {
  out << what << ":";
  for (const std::string& name : names) {
    out << " " << name;
  }
  out << "\n";
}

void PrintText(const Status& status, std::ostream& out) {
  constexpr int64_t kMillisecondsPerSecond = 1000;
  for (const auto& [name, domain] : status.failure_domains) {
    out << name << ": version " << domain.lowest_version;
    if (domain.highest_version != domain.lowest_version) {
      out << " to " << domain.highest_version;
    }
    out << " for " << domain.in_force_for_ms / kMillisecondsPerSecond << " s, "
        << domain.processes.size() << " processes";
    if (!domain.leaving.empty()) {
      PrintNames("; leaving", domain.leaving, out);
    } else {
      out << "\n";
    }
  }
  PrintNames("groups", status.groups, out);
  PrintNames("endpoints", status.endpoints, out);
  out << "quarantined: " << status.quarantined.dump() << "\n";
}

}  // namespace

ExitCode RunStatus(CommandLine& line, const Context& context) {
  TCLAP::MultiArg<std::string> admins(
      "", "admin",
      "an entry's admin address; in a large system, one in each failure domain",
      true, "IP:port", line.parser());
  line.Parse();
  Status status;
  for (const std::string& admin : admins.getValue()) {
    const auto dump = CallAdmin({.address = admin, .path = "/dump"}, context);
    const auto manifest =
        CallAdmin({.address = admin, .path = "/manifest"}, context);
    if (!dump.has_value() || !dump->ok() || !dump->json.is_object()) {
      return ExitCode::kRefused;
    }
    AddDump(dump->json, status);
    if (manifest.has_value() && manifest->ok()) {
      const Json in_force = manifest->json.value("manifest", Json::object());
      for (const Json& group : in_force.value("groups", Json::array())) {
        status.groups.insert(group.value("name", ""));
      }
    }
  }
  if (line.format() == OutputFormat::kJson) {
    context.out << ToJson(status).dump(2) << "\n";
  } else {
    PrintText(status, context.out);
  }
  return ExitCode::kDone;
}

}  // namespace wagtailshore::commands
