#ifndef DAEMON_ENTRY_CALL_RUN_H_
#define DAEMON_ENTRY_CALL_RUN_H_

#include <string>
#include <variant>

#include "coordination/claims/entry_claim.h"
#include "daemon/entry/admitted.h"
#include "daemon/entry/entry_control.h"
#include "protocol/http_api/http_api.h"
#include "protocol/messages/messages.h"

// Serves one call of a plain service. Blocks the calling traffic thread.
namespace wagtailshore::entry {

using CallOutcome = std::variant<claims::CallAnswered, refusal::Refusal>;

// A call that may be repeated: tried elsewhere when an attempt fails.
CallOutcome RunIdempotentCall(EntryControl& control,
                              const Admitted& admitted,
                              const http_api::ServiceCall& call);

// A call that runs at most once, under the row of its idempotency key.
CallOutcome RunNonIdempotentCall(EntryControl& control,
                                 const Admitted& admitted,
                                 const http_api::ServiceCall& call,
                                 const std::string& idempotency_key);

// What is known of an earlier non-idempotent call with this key.
CallOutcome LookUpOutcome(const platform_client::PlatformClient& platform,
                          const std::string& customer,
                          const std::string& idempotency_key);

}  // namespace wagtailshore::entry

#endif  // DAEMON_ENTRY_CALL_RUN_H_
