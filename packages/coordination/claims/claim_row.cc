#include "coordination/claims/claim_row.h"

#include <nlohmann/json.hpp>

#include "common/digest.h"
#include "common/json_integer.h"
#include "common/msgpack_depth.h"
#include "common/strings.h"

namespace wagtailshore::claims {

std::string RowKey(const std::string& customer,
                   const std::string& idempotency_key) {
  // The two are hashed separately, so that no two pairs share a row key.
  return common::StrCat("claim/", common::Sha256Hex(customer), "/",
                        common::Sha256Hex(idempotency_key));
}

std::string Serialize(const ClaimRow& row) {
  nlohmann::json json = {
      {"state", common::NameOf(kClaimStateNames, row.state)},
      {"attempt", row.attempt},
      {"request_digest", row.request_digest},
  };
  if (row.state == ClaimState::kDone) {
    json["answer"] = {
        {"status", row.answer.status},
        {"body", nlohmann::json::binary_t(
                     {row.answer.body.begin(), row.answer.body.end()})}};
  }
  const std::vector<uint8_t> bytes = nlohmann::json::to_msgpack(json);
  return {bytes.begin(), bytes.end()};
}

absl::StatusOr<ClaimRow> Parse(const std::string& value) {
  if (!common::NestsWithinLimit(value)) {
    return absl::DataLossError("claim row: not msgpack, or nested too deep");
  }
  try {
    const nlohmann::json json = nlohmann::json::from_msgpack(value);
    const auto state = common::ValueOf(
        kClaimStateNames, json.at("state").get_ref<const std::string&>());
    if (!state.has_value()) {
      return absl::DataLossError("claim row: unknown state");
    }
    ClaimRow row{.state = *state,
                 .attempt = common::IntegerFrom<uint32_t>(json.at("attempt")),
                 .request_digest = json.at("request_digest")};
    if (row.state == ClaimState::kDone) {
      const auto& body = json.at("answer").at("body").get_binary();
      row.answer.status =
          common::IntegerFrom<int>(json.at("answer").at("status"));
      row.answer.body.assign(body.begin(), body.end());
    }
    return row;
  } catch (const std::exception& error) {
    return absl::DataLossError(common::StrCat("claim row: ", error.what()));
  }
}

}  // namespace wagtailshore::claims
