#ifndef STATE_SERVING_CONFIGURATION_H_
#define STATE_SERVING_CONFIGURATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/enum_names.h"
#include "common/time.h"

// What a hosted gateway serves: the operators' configuration as plain values.
namespace wagtailshore::serving {

// What may be repeated of a request.
enum class RequestKind {
  // May run any number of times.
  kIdempotent,
  // May run at most once.
  kAtMostOnce,
  // Answered by a stream of numbered events.
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
  // At least one.
  std::vector<WeightedService> services;
  // Longest time that a caller is kept waiting.
  common::Duration timeout{};
  // An answer within this time earns its full worth; zero when unset.
  common::Duration latency_objective{};
  // Longest pause between two events of an answer that is on time.
  common::Duration event_gap_objective{};
  // 0 is the most urgent.
  int priority = 0;
  // Endpoints that one request may be sent to.
  int max_attempts = 1;
  // Needs no customer's key.
  bool open_to_all = false;
  // A cut stream may go on at another endpoint.
  bool resumable = false;
};

// Whether the request may run more than once.
bool MayRepeat(const Route& route);

// How a service's engines spend time, as published by the platform.
struct EngineModel {
  int slots = 1;
  // Base time of one token step, and what each running request and each 1,000
  // tokens of context add, in milliseconds.
  double step_ms = 0;
  double step_per_request_ms = 0;
  double step_per_context_k_ms = 0;
  double prompt_tokens_per_s = 0;
  // Token steps in one pass.
  int steps_per_pass = 1;
  // Prompt tokens read per step at most.
  int chunk_tokens = 0;
  common::Duration report_lag{};
  // Mean numbers of tokens.
  double usual_prompt_tokens = 0;
  double usual_answer_tokens = 0;
  // Groups that run in lock-step on an expert map; 0 layers without one.
  int layers = 0;
  int experts = 0;
  // Expert slots per rank and layer.
  int expert_slots = 0;
  // Experts of one layer that a rank can take in while it serves.
  int spare_slots = 0;
  double expert_mb = 0;
  // Share of the token work that experts do.
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
  // Goes before the route's priority.
  std::optional<int> priority;
};

// What callers may send and how long they may take.
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
  // Without customers no request needs a key.
  std::vector<Customer> customers;
};

}  // namespace wagtailshore::serving

#endif  // STATE_SERVING_CONFIGURATION_H_
