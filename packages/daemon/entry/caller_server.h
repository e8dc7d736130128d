#ifndef DAEMON_ENTRY_CALLER_SERVER_H_
#define DAEMON_ENTRY_CALLER_SERVER_H_

#include <mutex>
#include <optional>
#include <string>
#include <variant>

#include "daemon/entry/admitted.h"
#include "daemon/entry/call_run.h"
#include "daemon/entry/entry_control.h"
#include "daemon/entry/entry_core.h"
#include "protocol/http_api/http_api.h"
#include "transport/http_server/http_server.h"

namespace wagtailshore::entry {

// Admits callers' HTTP requests, runs them and returns the HTTP responses.
class CallerServer {
 public:
  CallerServer(node::Node& node, EntryCore& core, EntryControl& control)
      : node_(node), core_(core), control_(control) {}

  // Called on the connection's thread.
  http_server::Response OnRequest(http_server::Request request);

 private:
  std::variant<Admitted, refusal::Refusal> Admit(
      const http_api::Envelope& envelope,
      const http_api::Call& call);
  // Called on the control thread.
  std::variant<Admitted, refusal::Refusal> AdmitOnControl(
      const http_api::Envelope& envelope,
      const http_api::Call& call);

  std::variant<http_api::Call, refusal::Refusal> Parse(
      const http_server::Request& request);

  // Return a refusal if this entry's share of the customer's rate limit is
  // exhausted, or if the first token is expected after the deadline. Called on
  // the control thread.
  std::optional<refusal::Refusal> RefusedByLimit(
      const manifest::Customer& customer,
      const http_api::Call& call);
  std::optional<refusal::Refusal> RefusedByLoad(common::Time deadline,
                                                const http_api::Call& call);

  http_server::Response Serve(Admitted admitted,
                              const http_api::Envelope& envelope,
                              http_api::GenerateCall call);
  http_server::Response Serve(Admitted admitted,
                              const http_api::Envelope& envelope,
                              const http_api::ServiceCall& call);
  http_server::Response Serve(Admitted admitted,
                              const http_api::Envelope& envelope,
                              const http_api::OutcomeLookup& lookup);

  // Return the response for a refusal and for a call's outcome, and record it
  // in the metrics.
  http_server::FullResponse Refused(const refusal::Refusal& refusal);
  http_server::FullResponse Respond(const CallOutcome& outcome);

  node::Node& node_;
  EntryCore& core_;
  EntryControl& control_;
  // A parsed body takes many times its size until its call is made from it, so
  // bodies are parsed one at a time.
  std::mutex parse_mutex_;
};

// Returns the HTTP response for a refusal, without recording it.
http_server::FullResponse RefusalResponse(const refusal::Refusal& refusal);

}  // namespace wagtailshore::entry

#endif  // DAEMON_ENTRY_CALLER_SERVER_H_
