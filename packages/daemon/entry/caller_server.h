#ifndef DAEMON_ENTRY_CALLER_SERVER_H_
#define DAEMON_ENTRY_CALLER_SERVER_H_

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

// Turns callers' HTTP requests into runs and their outcomes into responses.
class CallerServer {
 public:
  CallerServer(node::Node& node, EntryCore& core, EntryControl& control)
      : node_(node), core_(core), control_(control) {}

  // Called on the connection's thread.
  http_server::Response OnRequest(const http_server::Request& request);

 private:
  std::variant<Admitted, refusal::Refusal> Admit(
      const http_api::Envelope& envelope,
      const http_api::Call& call);
  // On the control thread.
  std::variant<Admitted, refusal::Refusal> AdmitOnControl(
      const http_api::Envelope& envelope,
      const http_api::Call& call);

  // Why this entry's share of the customer's limit, or the wait predicted for
  // the first token, refuses the call, if it does. On the control thread.
  std::optional<refusal::Refusal> RefusedByLimit(
      const manifest::Customer& customer,
      const http_api::Call& call);
  std::optional<refusal::Refusal> RefusedByLoad(common::Time deadline,
                                                const http_api::Call& call);

  http_server::Response Serve(Admitted admitted,
                              const http_api::Envelope& envelope,
                              const http_api::GenerateCall& call);
  http_server::Response Serve(Admitted admitted,
                              const http_api::Envelope& envelope,
                              const http_api::ServiceCall& call);
  http_server::Response Serve(Admitted admitted,
                              const http_api::Envelope& envelope,
                              const http_api::OutcomeLookup& lookup);

  // The responses to a refusal and to a call's outcome; both are counted.
  http_server::FullResponse Refused(const refusal::Refusal& refusal);
  http_server::FullResponse Respond(const CallOutcome& outcome);

  node::Node& node_;
  EntryCore& core_;
  EntryControl& control_;
};

// The response that carries a refusal.
http_server::FullResponse RefusalResponse(const refusal::Refusal& refusal);

}  // namespace wagtailshore::entry

#endif  // DAEMON_ENTRY_CALLER_SERVER_H_
