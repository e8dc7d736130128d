#ifndef DAEMON_SETTINGS_SETTINGS_H_
#define DAEMON_SETTINGS_SETTINGS_H_

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/enum_names.h"
#include "common/finding.h"
#include "common/time.h"

// The daemon's settings, read from flags and environment variables. A flag
// takes precedence over its environment variable.
namespace wagtailshore::settings {

// kGateway and kCompanion are the roles of a hosted deployment; they read most
// settings from the platform's settings file instead of from flags.
enum class Role { kEntry, kEndpoint, kGateway, kCompanion };

inline constexpr common::EnumNames<Role, 4> kRoleNames = {{
    {Role::kEntry, "entry"},
    {Role::kEndpoint, "endpoint"},
    {Role::kGateway, "gateway"},
    {Role::kCompanion, "companion"},
}};

constexpr bool IsHosted(Role role) {
  return role == Role::kGateway || role == Role::kCompanion;
}

struct Settings {
  Role role = Role::kEntry;
  std::string name;
  std::string failure_domain;
  std::string caller_address;
  std::string traffic_address;
  std::string peer_address;
  std::string admin_address;
  // Empty if the admin address accepts requests without a token.
  std::string admin_token;
  // Address on which a hosted role serves its metrics.
  std::string metrics_address;
  std::string platform_url;
  std::string engine_url;
  std::string service_url;
  std::vector<std::string> seeds;
  common::Duration exchange_period{};
  common::Duration platform_poll_period{};
  common::Duration platform_timeout{};
  common::Duration drain_notice{};
  common::Duration progress_timeout{};
  // Requests that the engine runs at once; 0 for no limit.
  uint32_t engine_slots = 0;
  // Number of entries in the whole system; each enforces an equal share of
  // every customer's rate limit.
  uint32_t limit_entries = 1;
  uint32_t max_connections = 0;
  size_t max_body_bytes = 0;
  // Memory and descriptors that the process may take; 0 for what the machine
  // has.
  size_t memory_bytes = 0;
  size_t max_descriptors = 0;
};

// --help or --version was given, and its output has been printed.
struct NothingToRun {};

using ReadResult = std::variant<Settings, common::Findings, NothingToRun>;

// Returns the value of an environment variable, or nothing if it is not set.
using Environment =
    std::function<std::optional<std::string>(const std::string&)>;

// Reads and validates all settings. `arguments` begins with the program's name.
ReadResult Read(std::vector<std::string> arguments,
                const Environment& environment);

// Looks up a variable in the environment of this process.
std::optional<std::string> ProcessEnvironment(const std::string& name);

}  // namespace wagtailshore::settings

#endif  // DAEMON_SETTINGS_SETTINGS_H_
