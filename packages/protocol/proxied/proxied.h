#ifndef PROTOCOL_PROXIED_PROXIED_H_
#define PROTOCOL_PROXIED_PROXIED_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/time.h"
#include "protocol/http1/headers.h"

// A request that is forwarded to an endpoint, and the endpoint's answer,
// independent of the header names that the platform uses on the wire.
namespace wagtailshore::proxied {

struct CallerRequest {
  // Identifies this attempt of the caller; empty if the caller sent none.
  std::string attempt_id;
  std::string host;
  std::string method;
  // Path and query.
  std::string target;
  // Headers to forward unchanged.
  http1::Headers headers;
  std::string body;
  // Time that the caller waits for the answer, from when it sent the request.
  std::optional<common::Duration> time_left;
  // API key from the Authorization header; nullopt if there is none.
  std::optional<std::string> key;
  // Number of prompt tokens and maximum number of answer tokens; 0 if not
  // given.
  uint32_t prompt_tokens = 0;
  uint32_t max_answer_tokens = 0;
  // Model that the request is for; empty if not given.
  std::string model;
  // Ids of the parts of the prompt that other requests may have too, in lower
  // case. The last part belongs to the request alone and is not among them.
  std::vector<std::string> shared_prompt_parts;
  // The caller's estimate of the number of answer tokens; 0 if not given.
  uint32_t likely_answer_tokens = 0;
  // Number of the last event that the caller has received; the answer continues
  // after it.
  std::optional<uint64_t> resume_after;
};

// What the system adds to a request when it forwards it to an endpoint.
struct Forwarding {
  // The intended endpoint; any other refuses the request.
  std::string endpoint_id;
  std::optional<std::string> customer;
  common::Duration time_left{};
  // From 0, the most urgent, to 9, the least urgent. Endpoints start more
  // urgent requests first.
  int urgency = 5;
  // Continue after this event instead of the one that the caller gave.
  std::optional<uint64_t> resume_after;
};

struct EndpointLoad {
  uint32_t running = 0;
  uint32_t queued = 0;
  uint32_t slots = 0;
};

// What an endpoint's answer contains besides its body.
struct EndpointAnswer {
  int status = 0;
  std::optional<std::string> attempt_id;
  // Whether the answer carries the endpoint's proof that it produced the
  // answer.
  bool sealed = false;
  // Whether the endpoint guarantees that it did not run the request.
  bool not_run = false;
  // Whether the body has a content encoding, which means that it was changed on
  // the path.
  bool encoded = false;
  // Whether the body extends to the end of the connection.
  bool until_close = false;
  std::optional<EndpointLoad> load;
  // Requests a second that the endpoint takes from all gateways together, while
  // its answers say so.
  std::optional<double> request_limit;
  // How long the endpoint wants no further request from this gateway; set in
  // refusals only.
  std::optional<common::Duration> rest;
  // Whether the endpoint is leaving and wants no new requests.
  bool leaving = false;
  // Address of the endpoint that caused the refusal, if it is not the answering
  // one.
  std::string faulty_endpoint_address;
  // How long the connection may stay idle; nullopt if not given.
  std::optional<common::Duration> keep_alive;
  // Headers to forward to the caller.
  http1::Headers headers;
};

}  // namespace wagtailshore::proxied

#endif  // PROTOCOL_PROXIED_PROXIED_H_
