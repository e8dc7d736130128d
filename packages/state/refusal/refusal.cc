#include "state/refusal/refusal.h"

namespace wagtailshore::refusal {

int HttpStatus(Code code) {
  switch (code) {
    case Code::kBadRequest:
      return 400;
    case Code::kUnauthorized:
      return 401;
    case Code::kNotFound:
      return 404;
    case Code::kOutcomeUnknown:
    case Code::kSuperseded:
    case Code::kConflict:
      return 409;
    case Code::kTooLarge:
      return 413;
    case Code::kKeyReused:
    case Code::kQuarantined:
      return 422;
    case Code::kLimited:
      return 429;
    case Code::kOverloaded:
    case Code::kNoEndpoint:
    case Code::kDraining:
    case Code::kNoManifest:
    case Code::kWindDown:
    case Code::kStoreUnavailable:
      return 503;
    case Code::kDeadlineExceeded:
      return 504;
  }
  return 500;
}

}  // namespace wagtailshore::refusal
