#ifndef COORDINATION_CLAIMS_CLAIM_ROW_H_
#define COORDINATION_CLAIMS_CLAIM_ROW_H_

#include <cstdint>
#include <string>

#include "absl/status/statusor.h"
#include "common/enum_names.h"

// The table row that decides whether a non-idempotent request may run. At most
// one endpoint process ever changes a row from claimed to started, and only
// that process calls the service, once.
namespace wagtailshore::claims {

enum class ClaimState {
  // An entry has claimed the row for an attempt; nothing has run yet.
  kClaimed,
  // An endpoint has acquired the right to run the call, which may have reached
  // the service.
  kStarted,
  // The service answered; the row contains the answer.
  kDone,
  // The attempt was abandoned before it ran.
  kNotRun,
  // The call reached the service and its answer cannot be recovered.
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
  // Number of this attempt, from 1; only the newest attempt may start.
  uint32_t attempt = 0;
  // SHA-256 of service, call and body. A request with the same key and another
  // digest is refused.
  std::string request_digest;
  // Set when `state` is kDone.
  ServiceAnswer answer;

  bool operator==(const ClaimRow&) const = default;
};

// The table key of a customer's request. Customers never share a row.
std::string RowKey(const std::string& customer,
                   const std::string& idempotency_key);

// The row's value, as MessagePack.
std::string Serialize(const ClaimRow& row);
// Fails with DataLoss when the value cannot be decoded.
absl::StatusOr<ClaimRow> Parse(const std::string& value);

}  // namespace wagtailshore::claims

#endif  // COORDINATION_CLAIMS_CLAIM_ROW_H_
