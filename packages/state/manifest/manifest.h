#ifndef STATE_MANIFEST_MANIFEST_H_
#define STATE_MANIFEST_MANIFEST_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "common/enum_names.h"
#include "common/finding.h"

// The operators' description of the system: model groups, plain services,
// customers and trusted endpoints. A plain value; protocol/manifest_codec
// converts it to and from JSON.
namespace wagtailshore::manifest {

// Customers with a higher priority are admitted first under overload.
enum class Priority { kLow, kNormal, kHigh };

inline constexpr common::EnumNames<Priority, 3> kPriorityNames = {{
    {Priority::kLow, "low"},
    {Priority::kNormal, "normal"},
    {Priority::kHigh, "high"},
}};

// Phases of the orderly shutdown of the whole system. Each phase includes the
// restrictions of the previous ones.
enum class WindDownPhase {
  kServing,
  // Requests of customers whose `new_customer` flag is set are refused.
  kNoNewCustomers,
  // New requests are refused; requests in flight are completed, and outcomes
  // can be looked up.
  kDrainGroups,
  // Outcomes can be looked up; all other requests are refused.
  kOutcomesOnly,
  // All requests are refused.
  kOff,
};

inline constexpr common::EnumNames<WindDownPhase, 5> kWindDownPhaseNames = {{
    {WindDownPhase::kServing, "serving"},
    {WindDownPhase::kNoNewCustomers, "no_new_customers"},
    {WindDownPhase::kDrainGroups, "drain_groups"},
    {WindDownPhase::kOutcomesOnly, "outcomes_only"},
    {WindDownPhase::kOff, "off"},
}};

// Ranks that advance in lock-step and share one expert map.
struct ModelGroup {
  std::string name;
  std::string model;
  int ranks = 1;
  int layers = 1;
  // Experts per layer.
  int experts = 1;
  // Expert slots per rank and layer; at least experts / ranks.
  int slots_per_rank = 1;
  // Weights of step-time skew and of rebalancing cost; see
  // placement::PlanOptions.
  double skew_weight = 1.0;
  double cost_weight = 1.0;

  bool operator==(const ModelGroup&) const = default;
};

// A service that is not a model engine.
struct Service {
  std::string name;
  // Calls that may run at most once; all others may be repeated.
  std::vector<std::string> non_idempotent_calls;

  bool operator==(const Service&) const = default;
};

struct Customer {
  std::string name;
  // SHA-256 of the customer's bearer key, hexadecimal.
  std::string key_sha256;
  // Requests per second over the whole system.
  double requests_per_second = 1.0;
  Priority priority = Priority::kNormal;
  // Whether WindDownPhase::kNoNewCustomers refuses this customer.
  bool new_customer = false;

  bool operator==(const Customer&) const = default;
};

// A rank of a model group that an endpoint instance serves.
struct GroupRank {
  std::string group;
  int rank = 0;

  bool operator==(const GroupRank&) const = default;
};

// A plain service that an endpoint instance serves.
struct ServiceReplica {
  std::string service;

  bool operator==(const ServiceReplica&) const = default;
};

// What an endpoint instance serves.
using EndpointDuty = std::variant<GroupRank, ServiceReplica>;

struct Endpoint {
  std::string name;
  std::string failure_domain;
  // Address to which entries send attempts, "IP:port".
  std::string traffic_address;
  // Address for control messages between peers, "IP:port".
  std::string peer_address;
  EndpointDuty duty;
  // Whether the engine refuses orders with an outdated fencing token.
  bool checks_fencing = false;

  bool operator==(const Endpoint&) const = default;
};

struct Manifest {
  // Assigned when the manifest is accepted; 0 before that.
  uint64_t version = 0;
  std::vector<ModelGroup> groups;
  std::vector<Service> services;
  std::vector<Customer> customers;
  std::vector<Endpoint> endpoints;
  // ISO 8601 date of the planned shutdown, "YYYY-MM-DD"; empty without one.
  std::string end_date;
  WindDownPhase phase = WindDownPhase::kServing;

  bool operator==(const Manifest&) const = default;
};

// Checks that names are unique, references resolve and numbers are in range.
// Returns a finding for each violation; places are JSON pointers.
common::Findings Check(const Manifest& manifest);

// Returns the service with this name, or null.
const Service* FindService(const Manifest& manifest, std::string_view name);

// Whether `call` of `service` may run at most once.
bool IsNonIdempotent(const Service& service, std::string_view call);

// Returns the name of the model that the endpoint serves a rank of; empty for a
// plain service.
std::string_view ModelOf(const Manifest& manifest, const Endpoint& endpoint);

}  // namespace wagtailshore::manifest

#endif  // STATE_MANIFEST_MANIFEST_H_
