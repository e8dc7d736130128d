#ifndef STATE_SERVING_CONFIGURATION_H_
#define STATE_SERVING_CONFIGURATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/enum_names.h"
#include "common/finding.h"
#include "common/time.h"

// The operators' configuration of a hosted gateway, as plain values.
namespace wagtailshore::serving {

// Whether and how a request may be repeated.
enum class RequestKind {
  // May run any number of times.
  kIdempotent,
  // May run at most once.
  kAtMostOnce,
  // Answered by a stream of numbered events; repeated only if Route::resumable
  // is set.
  kStream,
};

inline constexpr common::EnumNames<RequestKind, 3> kRequestKindNames = {{
    {RequestKind::kIdempotent, "idempotent"},
    {RequestKind::kAtMostOnce, "at_most_once"},
    {RequestKind::kStream, "stream"},
}};

// A service and its share of a route's requests.
struct WeightedService {
  std::string service;
  double weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string prefix;
  RequestKind kind = RequestKind::kAtMostOnce;
  // At least one unless the route is closed; requests are split in proportion
  // to the weights.
  std::vector<WeightedService> services;
  // Maximum duration of a request from its arrival.
  common::Duration timeout{};
  // Target latency: a response within this time has its full value. Zero when
  // unset.
  common::Duration latency_objective{};
  // Target for the time between two events of a stream; zero when unset.
  common::Duration event_gap_objective{};
  // 0 is the most urgent.
  int priority = 0;
  // Maximum number of endpoints that one request is sent to.
  int max_attempts = 1;
  // Requests need no customer's key.
  bool open_to_all = false;
  // An interrupted stream may be continued by another endpoint.
  bool resumable = false;
  // Why no request is forwarded: the text does not say for certain where
  // requests go, or whether they may be repeated. Empty if they are forwarded.
  std::string closed_by;
};

// Whether the request may run more than once.
bool MayRepeat(const Route& route);

// Performance model of a service's engines, as published by the platform.
struct EngineModel {
  int slots = 1;
  // Duration of one token step: a base time, plus a time for each running
  // request and for each 1,000 tokens of context.
  double step_ms = 0;
  double step_per_request_ms = 0;
  double step_per_context_k_ms = 0;
  double prompt_tokens_per_s = 0;
  // Token steps per pass.
  int steps_per_pass = 1;
  // Maximum number of prompt tokens processed per step.
  int chunk_tokens = 0;
  common::Duration report_lag{};
  // Mean numbers of tokens per request.
  double usual_prompt_tokens = 0;
  double usual_answer_tokens = 0;
  // Shape of groups that run in lock-step with an expert map; 0 layers without
  // one.
  int layers = 0;
  int experts = 0;
  // Expert slots per rank and layer.
  int expert_slots = 0;
  // New experts of one layer that a rank can receive while it serves.
  int spare_slots = 0;
  double expert_mb = 0;
  // Time to copy one expert to a rank.
  common::Duration expert_copy_time = common::milliseconds(20);
  // Share of a token's processing time that is spent in experts.
  double expert_share = 0;
};

struct Service {
  std::string name;
  uint32_t max_connections = 0;
  std::optional<EngineModel> engine;
};

struct Customer {
  std::string name;
  std::vector<std::string> keys;
  // Overrides the route's priority.
  std::optional<int> priority;
};

// Size and time limits of callers' requests.
struct CallerLimits {
  uint32_t max_header_bytes = 16 * 1024;
  uint64_t max_body_bytes = 4UL * 1024 * 1024;
  common::Duration header_timeout = common::seconds(3);
  common::Duration idle_timeout = common::seconds(15);
};

struct Configuration {
  uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  CallerLimits limits;
  // Whether requests need a customer's key, except on routes that are open to
  // all. With keys needed and no customers, no request has a valid one.
  bool needs_keys = true;
  std::vector<Customer> customers;
  // Malformed fields of the text that it was decoded from. Each has its
  // default, which admits nobody and repeats nothing, or closes its route.
  common::Findings findings;
};

}  // namespace wagtailshore::serving

#endif  // STATE_SERVING_CONFIGURATION_H_
