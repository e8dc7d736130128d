#include "protocol/messages/messages.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "common/json_integer.h"
#include "common/msgpack_depth.h"

namespace wagtailshore::messages {
namespace {

using Json = nlohmann::json;
using common::IntegerFrom;

constexpr size_t kSizePrefixBytes = 4;
constexpr int kBitsPerByte = 8;

// Encoded as msgpack binary, because msgpack strings must be UTF-8 and these
// may contain any bytes.
Json ToBinary(const std::string& text) {
  return Json::binary(std::vector<uint8_t>(text.begin(), text.end()));
}

std::string FromBinary(const Json& json) {
  const auto& bytes = json.get_binary();
  return {bytes.begin(), bytes.end()};
}

std::string Pack(const Json& json) {
  const std::vector<uint8_t> bytes = Json::to_msgpack(json);
  return {bytes.begin(), bytes.end()};
}

template <typename Enum, size_t N>
Enum EnumFrom(const Json& json, const common::EnumNames<Enum, N>& names) {
  const auto value = common::ValueOf(names, json.get_ref<const std::string&>());
  if (!value.has_value()) {
    throw std::invalid_argument("message contains an unknown enum name");
  }
  return *value;
}

// Parses `bytes` as msgpack and calls `build` on the result. Exceptions become
// InvalidArgument.
template <typename Message, typename Build>
absl::StatusOr<Message> Decode(std::string_view bytes, Build build) {
  if (!common::NestsWithinLimit(bytes)) {
    return absl::InvalidArgumentError(
        "message is not valid msgpack or is nested too deeply");
  }
  try {
    return build(Json::from_msgpack(bytes));
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

Json ToJson(const stream::AttemptId& id) {
  return {{"request", id.request}, {"attempt", id.attempt}};
}

stream::AttemptId AttemptIdFrom(const Json& json) {
  return {.request = json.at("request"),
          .attempt = IntegerFrom<uint32_t>(json.at("attempt"))};
}

Json ToJson(const claims::Dispatch& dispatch) {
  return {{"row_key", dispatch.row_key},
          {"row_version", dispatch.row_version},
          {"row", ToBinary(claims::Serialize(dispatch.row))}};
}

claims::Dispatch DispatchFrom(const Json& json) {
  absl::StatusOr<claims::ClaimRow> row =
      claims::Parse(FromBinary(json.at("row")));
  if (!row.ok()) {
    throw std::invalid_argument(std::string(row.status().message()));
  }
  return {.row_key = json.at("row_key"),
          .row_version = IntegerFrom<uint64_t>(json.at("row_version")),
          .row = *std::move(row)};
}

Json ToJson(const membership::PeerInfo& info) {
  return {{"name", info.name},
          {"incarnation", info.incarnation},
          {"role", common::NameOf(membership::kRoleNames, info.role)},
          {"failure_domain", info.failure_domain},
          {"peer_address", info.peer_address},
          {"manifest_version", info.manifest_version},
          {"leaving", info.leaving},
          {"sees_platform", info.sees_platform}};
}

membership::PeerInfo PeerInfoFrom(const Json& json) {
  return {
      .name = json.at("name"),
      .incarnation = json.at("incarnation"),
      .role = EnumFrom(json.at("role"), membership::kRoleNames),
      .failure_domain = json.at("failure_domain"),
      .peer_address = json.at("peer_address"),
      .manifest_version = IntegerFrom<uint64_t>(json.at("manifest_version")),
      .leaving = json.at("leaving"),
      .sees_platform = json.at("sees_platform")};
}

Json ToJson(const dissemination::DomainDigest& digest) {
  return {{"failure_domain", digest.failure_domain},
          {"endpoints", digest.endpoints},
          {"leaving", digest.leaving},
          {"age_ms", common::ToMilliseconds(digest.age)}};
}

dissemination::DomainDigest DomainDigestFrom(const Json& json) {
  constexpr int64_t kMaxAgeMs = 3'600'000;
  return {.failure_domain = json.at("failure_domain"),
          .endpoints = IntegerFrom<uint32_t>(json.at("endpoints")),
          .leaving = json.at("leaving"),
          .age = common::milliseconds(std::clamp(
              IntegerFrom<int64_t>(json.at("age_ms")), int64_t{0}, kMaxAgeMs))};
}

Json ToJson(const std::vector<quarantine::SharedRecord>& contents) {
  Json json = Json::array();
  for (const quarantine::SharedRecord& content : contents) {
    json.push_back({{"digest", content.digest},
                    {"crashes", content.crashes},
                    {"ends_in_ms", common::ToMilliseconds(content.ends_in)}});
  }
  return json;
}

std::vector<quarantine::SharedRecord> CrashedContentsFrom(const Json& json) {
  constexpr int64_t kMaxEndsInMs = 3'600'000;
  std::vector<quarantine::SharedRecord> contents;
  for (const Json& item : common::ArrayFrom(json)) {
    contents.push_back({.digest = item.at("digest"),
                        .crashes = item.at("crashes"),
                        .ends_in = common::milliseconds(std::clamp(
                            IntegerFrom<int64_t>(item.at("ends_in_ms")),
                            int64_t{0}, kMaxEndsInMs))});
  }
  return contents;
}

}  // namespace

std::string Encode(const GenerateAttempt& message) {
  return Pack({{"id", ToJson(message.id)},
               {"endpoint", message.endpoint},
               {"customer", message.customer},
               {"model", message.model},
               {"prompt", ToBinary(message.prompt)},
               {"offset", message.offset},
               {"text_so_far", ToBinary(message.text_so_far)},
               {"max_tokens", message.max_tokens},
               {"deadline_ms", message.deadline_ms},
               {"priority", message.priority},
               {"may_wait", message.may_wait}});
}

absl::StatusOr<GenerateAttempt> DecodeGenerateAttempt(std::string_view bytes) {
  return Decode<GenerateAttempt>(bytes, [](const Json& json) {
    return GenerateAttempt{
        .id = AttemptIdFrom(json.at("id")),
        .endpoint = json.at("endpoint"),
        .customer = json.at("customer"),
        .model = json.at("model"),
        .prompt = FromBinary(json.at("prompt")),
        .offset = IntegerFrom<uint64_t>(json.at("offset")),
        .text_so_far = FromBinary(json.at("text_so_far")),
        .max_tokens = IntegerFrom<uint64_t>(json.at("max_tokens")),
        .deadline_ms = IntegerFrom<int64_t>(json.at("deadline_ms")),
        .priority = json.at("priority"),
        .may_wait = json.at("may_wait")};
  });
}

std::string Encode(const CallAttempt& message) {
  Json json = {{"id", ToJson(message.id)},
               {"endpoint", message.endpoint},
               {"customer", message.customer},
               {"service", message.service},
               {"call", message.call},
               {"body", ToBinary(message.body)},
               {"idempotency_key", ToBinary(message.idempotency_key)},
               {"deadline_ms", message.deadline_ms}};
  if (message.dispatch.has_value()) {
    json["dispatch"] = ToJson(*message.dispatch);
  }
  return Pack(json);
}

absl::StatusOr<CallAttempt> DecodeCallAttempt(std::string_view bytes) {
  return Decode<CallAttempt>(bytes, [](const Json& json) {
    CallAttempt message{
        .id = AttemptIdFrom(json.at("id")),
        .endpoint = json.at("endpoint"),
        .customer = json.at("customer"),
        .service = json.at("service"),
        .call = json.at("call"),
        .body = FromBinary(json.at("body")),
        .idempotency_key = FromBinary(json.at("idempotency_key")),
        .deadline_ms = IntegerFrom<int64_t>(json.at("deadline_ms")),
        .dispatch = std::nullopt};
    if (json.contains("dispatch")) {
      message.dispatch = DispatchFrom(json.at("dispatch"));
    }
    return message;
  });
}

std::string Encode(const CallReply& message) {
  return Pack({{"id", ToJson(message.id)},
               {"result", common::NameOf(kCallResultNames, message.result)},
               {"status", message.answer.status},
               {"body", ToBinary(message.answer.body)},
               {"code", common::NameOf(refusal::kCodeNames, message.code)},
               {"retry_after_ms", message.retry_after_ms}});
}

absl::StatusOr<CallReply> DecodeCallReply(std::string_view bytes) {
  return Decode<CallReply>(bytes, [](const Json& json) {
    return CallReply{
        .id = AttemptIdFrom(json.at("id")),
        .result = EnumFrom(json.at("result"), kCallResultNames),
        .answer = {.status = IntegerFrom<int>(json.at("status")),
                   .body = FromBinary(json.at("body"))},
        .code = EnumFrom(json.at("code"), refusal::kCodeNames),
        .retry_after_ms = IntegerFrom<int64_t>(json.at("retry_after_ms"))};
  });
}

std::string Encode(const PeerExchange& message) {
  Json json = {{"info", ToJson(message.info)},
               {"queued", message.load.queued},
               {"running", message.load.running},
               {"slots", message.load.slots},
               {"entries", message.entries},
               {"crashed_contents", ToJson(message.crashed_contents)}};
  if (message.manifest.has_value()) {
    json["manifest"] = {{"version", message.manifest->version},
                        {"body", ToBinary(message.manifest->body)}};
  }
  for (const dissemination::DomainDigest& digest : message.domains) {
    json["domains"].push_back(ToJson(digest));
  }
  return Pack(json);
}

absl::StatusOr<PeerExchange> DecodePeerExchange(std::string_view bytes) {
  return Decode<PeerExchange>(bytes, [](const Json& json) {
    PeerExchange message{
        .info = PeerInfoFrom(json.at("info")),
        .load = {.queued = IntegerFrom<uint32_t>(json.at("queued")),
                 .running = IntegerFrom<uint32_t>(json.at("running")),
                 .slots = IntegerFrom<uint32_t>(json.at("slots"))},
        .manifest = std::nullopt,
        .entries = json.at("entries"),
        .crashed_contents = CrashedContentsFrom(json.at("crashed_contents"))};
    if (json.contains("manifest")) {
      const Json& manifest = json.at("manifest");
      message.manifest = ManifestTransfer{
          .version = IntegerFrom<uint64_t>(manifest.at("version")),
          .body = FromBinary(manifest.at("body"))};
    }
    if (json.contains("domains")) {
      for (const Json& digest : common::ArrayFrom(json.at("domains"))) {
        message.domains.push_back(DomainDigestFrom(digest));
      }
    }
    return message;
  });
}

std::string Encode(const stream::Frame& message) {
  return Pack({{"id", ToJson(message.id)},
               {"offset", message.offset},
               {"tokens", message.tokens},
               {"text", ToBinary(message.text)},
               {"last", message.last}});
}

absl::StatusOr<stream::Frame> DecodeFrame(std::string_view bytes) {
  return Decode<stream::Frame>(bytes, [](const Json& json) {
    return stream::Frame{.id = AttemptIdFrom(json.at("id")),
                         .offset = IntegerFrom<uint64_t>(json.at("offset")),
                         .tokens = IntegerFrom<uint64_t>(json.at("tokens")),
                         .text = FromBinary(json.at("text")),
                         .last = json.at("last")};
  });
}

absl::StatusOr<std::optional<std::string>> MessageSplitter::Next() {
  if (buffer_.size() < kSizePrefixBytes) {
    return std::nullopt;
  }
  size_t size = 0;
  for (size_t i = 0; i < kSizePrefixBytes; ++i) {
    size = (size << kBitsPerByte) | static_cast<unsigned char>(buffer_[i]);
  }
  if (size > max_message_bytes_) {
    return absl::ResourceExhaustedError(
        "message is larger than the size limit");
  }
  if (buffer_.size() < kSizePrefixBytes + size) {
    return std::nullopt;
  }
  std::string message = buffer_.substr(kSizePrefixBytes, size);
  buffer_.erase(0, kSizePrefixBytes + size);
  return message;
}

std::string AddSizePrefix(std::string_view message) {
  std::string bytes;
  for (size_t i = kSizePrefixBytes; i > 0; --i) {
    bytes += static_cast<char>(message.size() >> ((i - 1) * kBitsPerByte));
  }
  return bytes.append(message);
}

}  // namespace wagtailshore::messages
