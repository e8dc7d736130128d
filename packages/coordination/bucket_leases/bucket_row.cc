#include "coordination/bucket_leases/bucket_row.h"

#include <exception>
#include <nlohmann/json.hpp>

#include "common/json_integer.h"
#include "common/strings.h"

namespace wagtailshore::bucket_leases {
namespace {

using Json = nlohmann::json;

Json ToJson(const Record& record) {
  Json json = {{"state", common::NameOf(kRecordStateNames, record.state)}};
  if (record.state == RecordState::kDone) {
    json["status"] = record.answer.status;
    json["body"] =
        Json::binary({record.answer.body.begin(), record.answer.body.end()});
  }
  return json;
}

// Throws Json::exception on malformed input. An unrecognized state is decoded
// as kUnknown.
Record RecordFrom(const Json& json) {
  Record record{
      .state = common::ValueOf(kRecordStateNames,
                               json.at("state").get_ref<const std::string&>())
                   .value_or(RecordState::kUnknown)};
  if (record.state == RecordState::kDone) {
    const auto& body = json.at("body").get_binary();
    record.answer = {.status = common::IntegerFrom<int>(json.at("status")),
                     .body = {body.begin(), body.end()}};
  }
  return record;
}

}  // namespace

std::string Serialize(const BucketRow& row) {
  Json json = {{"owner", row.owner},
               {"epoch", row.epoch},
               {"held", row.held},
               {"barred", row.barred},
               {"records", Json::object()}};
  for (const auto& [key, record] : row.records) {
    json["records"][key] = ToJson(record);
  }
  const std::vector<uint8_t> bytes = Json::to_msgpack(json);
  return {bytes.begin(), bytes.end()};
}

absl::StatusOr<BucketRow> Parse(const std::string& value) {
  try {
    const Json json = Json::from_msgpack(value);
    BucketRow row{.owner = json.at("owner"),
                  .epoch = common::IntegerFrom<uint64_t>(json.at("epoch")),
                  .held = json.at("held"),
                  .barred = json.at("barred"),
                  .records = {}};
    const Json& records = json.at("records");
    if (!records.is_object()) {
      return absl::DataLossError("bucket row: the records are not a map");
    }
    for (const auto& [key, record] : records.items()) {
      row.records[key] = RecordFrom(record);
    }
    return row;
  } catch (const std::exception& error) {
    return absl::DataLossError(common::StrCat("bucket row: ", error.what()));
  }
}

}  // namespace wagtailshore::bucket_leases
