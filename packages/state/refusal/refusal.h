#ifndef STATE_REFUSAL_REFUSAL_H_
#define STATE_REFUSAL_REFUSAL_H_

#include <optional>
#include <string>

#include "common/enum_names.h"
#include "common/time.h"

// The final response to a request that is not served: a reason, and whether the
// request may have run.
namespace wagtailshore::refusal {

// Machine-readable reasons; their names are part of the API.
enum class Code {
  kBadRequest,
  kUnauthorized,
  kNotFound,
  kTooLarge,
  kLimited,
  kOverloaded,
  kNoEndpoint,
  kDeadlineExceeded,
  kDraining,
  kNoManifest,
  kWindDown,
  kQuarantined,
  kStoreUnavailable,
  kKeyReused,
  kOutcomeUnknown,
  kSuperseded,
  kConflict,
};

inline constexpr common::EnumNames<Code, 17> kCodeNames = {{
    {Code::kBadRequest, "bad_request"},
    {Code::kUnauthorized, "unauthorized"},
    {Code::kNotFound, "not_found"},
    {Code::kTooLarge, "too_large"},
    {Code::kLimited, "limited"},
    {Code::kOverloaded, "overloaded"},
    {Code::kNoEndpoint, "no_endpoint"},
    {Code::kDeadlineExceeded, "deadline_exceeded"},
    {Code::kDraining, "draining"},
    {Code::kNoManifest, "no_manifest"},
    {Code::kWindDown, "wind_down"},
    {Code::kQuarantined, "quarantined"},
    {Code::kStoreUnavailable, "store_unavailable"},
    {Code::kKeyReused, "key_reused"},
    {Code::kOutcomeUnknown, "outcome_unknown"},
    {Code::kSuperseded, "superseded"},
    {Code::kConflict, "conflict"},
}};

// Whether the request ran anywhere.
enum class Ran {
  // It did not run, and will not run unless the caller sends it again.
  kNotRun,
  // It may have run, partly or completely.
  kUnknown,
};

inline constexpr common::EnumNames<Ran, 2> kRanNames = {{
    {Ran::kNotRun, "not_run"},
    {Ran::kUnknown, "unknown"},
}};

struct Refusal {
  Code code = Code::kBadRequest;
  Ran ran = Ran::kNotRun;
  std::string message;
  // Time after which the caller may retry; nullopt when a retry cannot help.
  std::optional<common::Duration> retry_after;
};

// Returns the HTTP status for `code`.
int HttpStatus(Code code);

}  // namespace wagtailshore::refusal

#endif  // STATE_REFUSAL_REFUSAL_H_
