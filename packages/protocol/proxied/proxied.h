#ifndef PROTOCOL_PROXIED_PROXIED_H_
#define PROTOCOL_PROXIED_PROXIED_H_

#include <cstdint>
#include <optional>
#include <string>

#include "common/time.h"
#include "protocol/http1/headers.h"

// A request that is passed through to an endpoint and its answer, without the
// names that the platform uses on the wire.
namespace wagtailshore::proxied {

struct CallerRequest {
  // Names this one try of the caller's; empty when the caller sent none.
  std::string attempt_id;
  std::string host;
  std::string method;
  // Path and query.
  std::string target;
  // What is passed on as it came.
  http1::Headers headers;
  std::string body;
  // How long the caller waits, from its sending.
  std::optional<common::Duration> time_left;
  std::optional<std::string> key;
  // Prompt tokens, and answer tokens at most; 0 when not told.
  uint32_t prompt_tokens = 0;
  uint32_t max_answer_tokens = 0;
  // The caller's guess at the answer's tokens; 0 when not told.
  uint32_t likely_answer_tokens = 0;
  // The caller has the events up to this one and goes on after it.
  std::optional<uint64_t> resume_after;
};

// What the system adds to a request for one endpoint.
struct Forwarding {
  // Any other endpoint refuses the request.
  std::string endpoint_id;
  std::optional<std::string> customer;
  common::Duration time_left{};
  // 0 is the most urgent, 9 the least; endpoints begin the more urgent first.
  int urgency = 5;
  // Go on after this event instead of where the caller asked.
  std::optional<uint64_t> resume_after;
};

struct EndpointLoad {
  uint32_t running = 0;
  uint32_t queued = 0;
  uint32_t slots = 0;
};

// What an endpoint's answer tells beside its body.
struct EndpointAnswer {
  int status = 0;
  std::optional<std::string> attempt_id;
  // Carries the endpoint's proof that it made the answer.
  bool sealed = false;
  // The endpoint promises that it did not run the request.
  bool not_run = false;
  // The body was changed on the way.
  bool encoded = false;
  std::optional<EndpointLoad> load;
  // Endpoint that caused the refusal, if it is another one.
  std::string culprit_address;
  // How long the connection may stay idle; nothing when not told.
  std::optional<common::Duration> keep_alive;
  // To be passed to the caller.
  http1::Headers headers;
};

}  // namespace wagtailshore::proxied

#endif  // PROTOCOL_PROXIED_PROXIED_H_
