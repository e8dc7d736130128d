#ifndef DAEMON_ENTRY_CALL_RUN_H_
#define DAEMON_ENTRY_CALL_RUN_H_

#include <string>
#include <variant>

#include "coordination/claims/entry_claim.h"
#include "daemon/entry/admitted.h"
#include "daemon/entry/entry_control.h"
#include "protocol/http_api/http_api.h"
#include "protocol/messages/messages.h"

// Functions that serve one call of a plain service. They block the calling
// connection's thread.
namespace wagtailshore::entry {

using CallOutcome = std::variant<claims::CallAnswered, refusal::Refusal>;

// Serves a call that may run more than once. Retries it on another endpoint
// when an attempt fails.
CallOutcome RunIdempotentCall(EntryControl& control,
                              const Admitted& admitted,
                              const http_api::ServiceCall& call);

// Serves a call that runs at most once, guarded by the table row of its
// idempotency key.
CallOutcome RunNonIdempotentCall(EntryControl& control,
                                 const Admitted& admitted,
                                 const http_api::ServiceCall& call,
                                 const std::string& idempotency_key);

// Returns the recorded outcome of an earlier non-idempotent call with this key,
// or a refusal that says why there is none.
CallOutcome LookUpOutcome(const platform_client::PlatformClient& platform,
                          const std::string& customer,
                          const std::string& idempotency_key);

}  // namespace wagtailshore::entry

#endif  // DAEMON_ENTRY_CALL_RUN_H_
