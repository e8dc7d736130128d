#include "protocol/companion_messages/companion_messages.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <variant>

#include "common/digest.h"
#include "common/enum_names.h"
#include "common/json_integer.h"
#include "common/msgpack.h"
#include "common/strings.h"

namespace wagtailshore::companion_messages {
namespace {

using common::IntegerFrom;
using common::IntegersFrom;
using map_coordinator::ArmedMap;
using map_coordinator::ArmMap;
using map_coordinator::DisarmMap;
using map_coordinator::GroupMap;
using map_coordinator::HoldStep;
using map_coordinator::OrderBody;
using map_coordinator::PrepareMap;
using map_coordinator::RankOrder;
using map_coordinator::RankReport;
using map_coordinator::ReleaseStep;
using nlohmann::json;

enum class OrderKind { kPrepare, kArm, kDisarm, kHold, kRelease };

constexpr common::EnumNames<OrderKind, 5> kOrderKindNames = {{
    {OrderKind::kPrepare, "prepare"},
    {OrderKind::kArm, "arm"},
    {OrderKind::kDisarm, "disarm"},
    {OrderKind::kHold, "hold"},
    {OrderKind::kRelease, "release"},
}};

// Lists of experts, one for each layer or rank.
std::vector<std::vector<int>> LayersFrom(const json& value) {
  std::vector<std::vector<int>> layers;
  for (const json& layer : common::ArrayFrom(value)) {
    layers.push_back(IntegersFrom<int>(layer));
  }
  return layers;
}

GroupMap GroupMapFrom(const json& value) {
  GroupMap map;
  for (const json& layer : common::ArrayFrom(value)) {
    map.push_back(LayersFrom(layer));
  }
  return map;
}

json ToJson(const RankReport& report) {
  json value = {{"epoch", report.epoch},
                {"open", report.open},
                {"step", report.step},
                {"map", report.map_version}};
  if (report.prepared.has_value()) {
    value["prepared"] = *report.prepared;
  }
  if (report.armed.has_value()) {
    value["armed_map"] = report.armed->version;
    value["armed_step"] = report.armed->step;
  }
  if (report.held_step.has_value()) {
    value["held"] = *report.held_step;
  }
  return value;
}

RankReport DecodeReport(const json& value) {
  RankReport report{.epoch = IntegerFrom<uint64_t>(value.at("epoch")),
                    .open = value.at("open").get<bool>(),
                    .step = IntegerFrom<uint64_t>(value.at("step")),
                    .map_version = IntegerFrom<uint64_t>(value.at("map"))};
  if (value.contains("prepared")) {
    report.prepared = IntegerFrom<uint64_t>(value.at("prepared"));
  }
  if (value.contains("armed_map")) {
    report.armed =
        ArmedMap{.version = IntegerFrom<uint64_t>(value.at("armed_map")),
                 .step = IntegerFrom<uint64_t>(value.at("armed_step"))};
  }
  if (value.contains("held")) {
    report.held_step = IntegerFrom<uint64_t>(value.at("held"));
  }
  return report;
}

struct BodyWriter {
  const std::string& encoded_map;

  json operator()(const PrepareMap& order) const {
    return Value(
        OrderKind::kPrepare,
        {{"version", order.version},
         {"map", json::binary({encoded_map.begin(), encoded_map.end()})}});
  }
  json operator()(const ArmMap& order) const {
    return Value(OrderKind::kArm,
                 {{"version", order.version}, {"step", order.step}});
  }
  json operator()(const DisarmMap& order) const {
    return Value(OrderKind::kDisarm, {{"version", order.version}});
  }
  json operator()(const HoldStep& order) const {
    return Value(OrderKind::kHold, {{"step", order.step}});
  }
  json operator()(const ReleaseStep& order) const {
    return Value(OrderKind::kRelease, {{"step", order.step}});
  }

  static json Value(OrderKind kind, json fields) {
    fields["kind"] = std::string(common::NameOf(kOrderKindNames, kind));
    return fields;
  }
};

// Returns the slots of a map in the order of layer, rank and position.
std::vector<int*> SlotsOf(GroupMap& map) {
  std::vector<int*> slots;
  for (auto& layer : map) {
    for (auto& rank : layer) {
      for (int& expert : rank) {
        slots.push_back(&expert);
      }
    }
  }
  return slots;
}

void SortExperts(GroupMap& map) {
  for (auto& layer : map) {
    for (auto& rank : layer) {
      std::sort(rank.begin(), rank.end());
    }
  }
}

// Writes `experts` into slots of the map. Each gap is the distance of an
// expert's slot from that of the previous expert; the first counts from slot 0.
// Returns false if a slot is out of range.
bool ApplyChanges(const std::vector<size_t>& gaps,
                  const std::vector<int>& experts,
                  GroupMap& map) {
  const std::vector<int*> slots = SlotsOf(map);
  size_t slot = 0;
  for (size_t i = 0; i < gaps.size(); ++i) {
    if (gaps[i] >= slots.size() - slot) {
      return false;
    }
    slot += gaps[i];
    *slots[slot] = experts[i];
  }
  SortExperts(map);
  return true;
}

// Decodes the map of an order, which is either complete or given as changes to
// a map in `known`.
absl::StatusOr<std::shared_ptr<const GroupMap>> DecodeMap(
    const json& encoded,
    const map_coordinator::MapHistory& known) {
  if (encoded.is_array()) {
    return std::make_shared<const GroupMap>(GroupMapFrom(encoded));
  }
  const auto base = known.Find(IntegerFrom<uint64_t>(encoded.at("base")));
  if (base == nullptr) {
    return absl::FailedPreconditionError(
        "the base map of the changes is unknown");
  }
  GroupMap map = *base;
  const auto gaps = IntegersFrom<size_t>(encoded.at("gaps"));
  const auto experts = IntegersFrom<int>(encoded.at("experts"));
  if (gaps.size() != experts.size() || !ApplyChanges(gaps, experts, map)) {
    return absl::FailedPreconditionError(
        "the changes do not fit the shape of the base map");
  }
  // All ranks must use an identical map.
  if (common::Sha256Hex(EncodeMap(map)) !=
      encoded.at("digest").get<std::string>()) {
    return absl::FailedPreconditionError(
        "digest mismatch after applying the changes to the base map");
  }
  return std::make_shared<const GroupMap>(std::move(map));
}

absl::StatusOr<OrderBody> DecodeBody(const json& value,
                                     const map_coordinator::MapHistory& known) {
  const auto kind =
      common::ValueOf(kOrderKindNames, value.at("kind").get<std::string>());
  if (!kind.has_value()) {
    return absl::InvalidArgumentError("unknown order kind");
  }
  switch (*kind) {
    case OrderKind::kPrepare: {
      const auto& encoded = value.at("map").get_binary();
      if (!common::NestsWithinLimit(
              {reinterpret_cast<const char*>(encoded.data()),
               encoded.size()})) {
        return absl::InvalidArgumentError("malformed or too deep map");
      }
      auto map = DecodeMap(json::from_msgpack(encoded), known);
      if (!map.ok()) {
        return map.status();
      }
      return PrepareMap{.version = IntegerFrom<uint64_t>(value.at("version")),
                        .map = *std::move(map)};
    }
    case OrderKind::kArm:
      return ArmMap{.version = IntegerFrom<uint64_t>(value.at("version")),
                    .step = IntegerFrom<uint64_t>(value.at("step"))};
    case OrderKind::kDisarm:
      return DisarmMap{.version = IntegerFrom<uint64_t>(value.at("version"))};
    case OrderKind::kHold:
      return HoldStep{.step = IntegerFrom<uint64_t>(value.at("step"))};
    case OrderKind::kRelease:
      return ReleaseStep{.step = IntegerFrom<uint64_t>(value.at("step"))};
  }
  return absl::InvalidArgumentError("unknown order kind");
}

}  // namespace

std::string EncodePoll(const Poll& poll) {
  return common::PackMsgpack({{"generation", poll.generation},
                              {"choices", poll.want_choices},
                              {"map", poll.want_map},
                              {"slow", poll.slow_engines},
                              {"era", poll.store_era}});
}

absl::StatusOr<Poll> DecodePoll(std::string_view text) {
  return common::UnpackMsgpack(text, [](const json& value) {
    return Poll{
        .generation = IntegerFrom<uint64_t>(value.at("generation")),
        .want_choices = value.at("choices").get<bool>(),
        .want_map = value.at("map").get<bool>(),
        .slow_engines = value.at("slow").get<std::vector<std::string>>(),
        // Companions of an earlier release do not send it.
        .store_era =
            value.contains("era") ? IntegerFrom<uint64_t>(value.at("era")) : 0};
  });
}

std::string EncodeRankState(const RankState& state) {
  json value = {{"group", state.group},
                {"rank", state.rank},
                {"ranks", state.ranks},
                {"pace", state.pace},
                {"report", ToJson(state.report)}};
  if (state.choices.has_value()) {
    value["choices"] = *state.choices;
  }
  if (state.experts.has_value()) {
    value["experts"] = *state.experts;
  }
  return common::PackMsgpack(value);
}

absl::StatusOr<RankState> DecodeRankState(std::string_view text) {
  return common::UnpackMsgpack(text, [](const json& value) {
    RankState state{.group = value.at("group").get<std::string>(),
                    .rank = IntegerFrom<int>(value.at("rank")),
                    .ranks = IntegerFrom<int>(value.at("ranks")),
                    .pace = common::NumberFrom(value.at("pace")),
                    .report = DecodeReport(value.at("report"))};
    if (value.contains("choices")) {
      state.choices = IntegersFrom<uint64_t>(value.at("choices"));
    }
    if (value.contains("experts")) {
      state.experts = LayersFrom(value.at("experts"));
    }
    return state;
  });
}

std::string EncodeSlowEngines(const std::vector<std::string>& engines) {
  return common::PackMsgpack({{"slow", engines}});
}

absl::StatusOr<std::vector<std::string>> DecodeSlowEngines(
    std::string_view text) {
  return common::UnpackMsgpack(text, [](const json& value) {
    return value.at("slow").get<std::vector<std::string>>();
  });
}

std::string EncodeMap(const GroupMap& map) {
  return common::PackMsgpack(map);
}

std::string EncodeMapChanges(uint64_t base_version,
                             const GroupMap& base,
                             const GroupMap& map) {
  std::vector<size_t> gaps;
  std::vector<int> experts;
  size_t slot = 0;
  size_t previous_slot = 0;
  if (base.size() != map.size()) {
    return {};
  }
  for (size_t layer = 0; layer < map.size(); ++layer) {
    if (base[layer].size() != map[layer].size()) {
      return {};
    }
    for (size_t rank = 0; rank < map[layer].size(); ++rank) {
      const std::vector<int>& before = base[layer][rank];
      const std::vector<int>& after = map[layer][rank];
      if (before.size() != after.size()) {
        return {};
      }
      std::vector<int> added;
      std::set_difference(after.begin(), after.end(), before.begin(),
                          before.end(), std::back_inserter(added));
      std::vector<int> removed;
      std::set_difference(before.begin(), before.end(), after.begin(),
                          after.end(), std::back_inserter(removed));
      size_t replaced = 0;
      for (const int expert : before) {
        if (replaced < removed.size() && expert == removed[replaced]) {
          gaps.push_back(slot - previous_slot);
          experts.push_back(added[replaced]);
          previous_slot = slot;
          ++replaced;
        }
        ++slot;
      }
    }
  }
  return common::PackMsgpack({{"base", base_version},
                              {"digest", common::Sha256Hex(EncodeMap(map))},
                              {"gaps", gaps},
                              {"experts", experts}});
}

std::string EncodeOrder(const RankOrder& order,
                        const std::string& encoded_map) {
  json value = std::visit(BodyWriter{encoded_map}, order.body);
  value["id"] = order.id;
  value["rank"] = order.rank;
  value["epoch"] = order.epoch;
  value["generation"] = order.generation;
  return common::PackMsgpack(value);
}

absl::StatusOr<RankOrder> DecodeOrder(
    std::string_view text,
    const map_coordinator::MapHistory& known) {
  auto body = common::UnpackMsgpack(
      text, [&](const json& value) { return DecodeBody(value, known); });
  if (!body.ok()) {
    return body.status();
  }
  if (!body->ok()) {
    return body->status();
  }
  return common::UnpackMsgpack(text, [&](const json& value) {
    return RankOrder{
        .id = IntegerFrom<uint64_t>(value.at("id")),
        .rank = IntegerFrom<int>(value.at("rank")),
        .epoch = IntegerFrom<uint64_t>(value.at("epoch")),
        .generation = IntegerFrom<uint64_t>(value.at("generation")),
        .body = **body};
  });
}

std::string EncodeEntry(const CompanionEntry& entry) {
  return common::PackMsgpack({{"peer", entry.peer_address},
                              {"engine", entry.engine_address},
                              {"service", entry.service}});
}

absl::StatusOr<CompanionEntry> DecodeEntry(std::string_view text) {
  return common::UnpackMsgpack(text, [](const json& value) {
    return CompanionEntry{
        .peer_address = value.at("peer").get<std::string>(),
        .engine_address = value.at("engine").get<std::string>(),
        .service = value.at("service").get<std::string>()};
  });
}

std::string EncodeCoordinator(const CoordinatorEntry& entry) {
  return common::PackMsgpack(
      {{"generation", entry.generation}, {"peer", entry.peer_address}});
}

absl::StatusOr<CoordinatorEntry> DecodeCoordinator(std::string_view text) {
  return common::UnpackMsgpack(text, [](const json& value) {
    return CoordinatorEntry{
        .generation = IntegerFrom<uint64_t>(value.at("generation")),
        .peer_address = value.at("peer").get<std::string>()};
  });
}

}  // namespace wagtailshore::companion_messages
