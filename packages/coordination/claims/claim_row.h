#ifndef COORDINATION_CLAIMS_CLAIM_ROW_H_
#define COORDINATION_CLAIMS_CLAIM_ROW_H_

#include <cstdint>
#include <string>

#include "absl/status/statusor.h"
#include "common/enum_names.h"

// The row that decides whether a non-idempotent request may run. At most one
// endpoint process ever moves a row from claimed to started, and only that
// process calls the service, once.
namespace wagtailshore::claims {

enum class ClaimState {
  // An entry chose an endpoint for this attempt; nothing ran yet.
  kClaimed,
  // The endpoint won the right to run; the call may have reached the service.
  kStarted,
  // The service answered; the answer is kept in the row.
  kDone,
  // The request was given up on before it ran.
  kNotRun,
  // The call reached the service and its answer is lost for good.
  kUnknown,
};

inline constexpr common::EnumNames<ClaimState, 5> kClaimStateNames = {{
    {ClaimState::kClaimed, "claimed"},
    {ClaimState::kStarted, "started"},
    {ClaimState::kDone, "done"},
    {ClaimState::kNotRun, "not_run"},
    {ClaimState::kUnknown, "unknown"},
}};

// A plain service's answer.
struct ServiceAnswer {
  int status = 0;
  std::string body;

  bool operator==(const ServiceAnswer&) const = default;
};

struct ClaimRow {
  ClaimState state = ClaimState::kClaimed;
  // Counts the tries to place the request; only the newest may start.
  uint32_t attempt = 0;
  // SHA-256 of service, call and body: a key names one request only.
  std::string request_digest;
  // Set when `state` is kDone.
  ServiceAnswer answer;

  bool operator==(const ClaimRow&) const = default;
};

// The table key of a customer's request. Customers never share a row.
std::string RowKey(const std::string& customer,
                   const std::string& idempotency_key);

std::string Serialize(const ClaimRow& row);
absl::StatusOr<ClaimRow> Parse(const std::string& value);

}  // namespace wagtailshore::claims

#endif  // COORDINATION_CLAIMS_CLAIM_ROW_H_
