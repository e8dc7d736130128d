#include "protocol/manifest_codec/manifest_codec.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "common/object_reader.h"
#include "common/strings.h"

namespace wagtailshore::manifest_codec {
namespace {

using Json = nlohmann::json;
using common::ObjectReader;

manifest::ModelGroup ReadGroup(const Json& json,
                               const std::string& place,
                               common::Findings& findings) {
  manifest::ModelGroup group;
  ObjectReader reader(json, place, findings);
  reader.Required("name", group.name);
  reader.Required("model", group.model);
  reader.Optional("ranks", group.ranks);
  reader.Optional("layers", group.layers);
  reader.Optional("experts", group.experts);
  reader.Optional("slots_per_rank", group.slots_per_rank);
  reader.Optional("skew_weight", group.skew_weight);
  reader.Optional("cost_weight", group.cost_weight);
  reader.ReportUnknownFields();
  return group;
}

manifest::Service ReadService(const Json& json,
                              const std::string& place,
                              common::Findings& findings) {
  manifest::Service service;
  ObjectReader reader(json, place, findings);
  reader.Required("name", service.name);
  reader.OptionalStrings("non_idempotent_calls", service.non_idempotent_calls);
  reader.ReportUnknownFields();
  return service;
}

manifest::Customer ReadCustomer(const Json& json,
                                const std::string& place,
                                common::Findings& findings) {
  manifest::Customer customer;
  ObjectReader reader(json, place, findings);
  reader.Required("name", customer.name);
  reader.Required("key_sha256", customer.key_sha256);
  reader.Optional("requests_per_second", customer.requests_per_second);
  reader.Optional("priority", customer.priority, manifest::kPriorityNames);
  reader.Optional("new_customer", customer.new_customer);
  reader.ReportUnknownFields();
  return customer;
}

manifest::EndpointDuty ReadDuty(ObjectReader& reader) {
  manifest::GroupRank rank;
  manifest::ServiceReplica replica;
  reader.Optional("group", rank.group);
  reader.Optional("rank", rank.rank);
  reader.Optional("service", replica.service);
  if (reader.Has("group") == reader.Has("service")) {
    reader.Report("", "must have either a group or a service");
  }
  if (reader.Has("service")) {
    return replica;
  }
  return rank;
}

manifest::Endpoint ReadEndpoint(const Json& json,
                                const std::string& place,
                                common::Findings& findings) {
  manifest::Endpoint endpoint;
  ObjectReader reader(json, place, findings);
  reader.Required("name", endpoint.name);
  reader.Required("failure_domain", endpoint.failure_domain);
  reader.Required("traffic_address", endpoint.traffic_address);
  reader.Required("peer_address", endpoint.peer_address);
  reader.Optional("checks_fencing", endpoint.checks_fencing);
  endpoint.duty = ReadDuty(reader);
  reader.ReportUnknownFields();
  return endpoint;
}

manifest::Manifest ReadManifest(const Json& json, common::Findings& findings) {
  manifest::Manifest manifest;
  ObjectReader reader(json, "", findings);
  reader.ForEach("groups", [&](const Json& item, const std::string& place) {
    manifest.groups.push_back(ReadGroup(item, place, findings));
    return !manifest.groups.back().name.empty();
  });
  reader.ForEach("services", [&](const Json& item, const std::string& place) {
    manifest.services.push_back(ReadService(item, place, findings));
    return !manifest.services.back().name.empty();
  });
  reader.ForEach("customers", [&](const Json& item, const std::string& place) {
    manifest.customers.push_back(ReadCustomer(item, place, findings));
    return !manifest.customers.back().name.empty();
  });
  reader.ForEach("endpoints", [&](const Json& item, const std::string& place) {
    manifest.endpoints.push_back(ReadEndpoint(item, place, findings));
    return !manifest.endpoints.back().name.empty();
  });
  reader.Optional("end_date", manifest.end_date);
  reader.Optional("phase", manifest.phase, manifest::kWindDownPhaseNames);
  reader.ReportUnknownFields();
  return manifest;
}

Json ToJson(const manifest::ModelGroup& group) {
  return {{"name", group.name},
          {"model", group.model},
          {"ranks", group.ranks},
          {"layers", group.layers},
          {"experts", group.experts},
          {"slots_per_rank", group.slots_per_rank},
          {"skew_weight", group.skew_weight},
          {"cost_weight", group.cost_weight}};
}

Json ToJson(const manifest::Service& service) {
  return {{"name", service.name},
          {"non_idempotent_calls", service.non_idempotent_calls}};
}

Json ToJson(const manifest::Customer& customer) {
  return {
      {"name", customer.name},
      {"key_sha256", customer.key_sha256},
      {"requests_per_second", customer.requests_per_second},
      {"priority", common::NameOf(manifest::kPriorityNames, customer.priority)},
      {"new_customer", customer.new_customer}};
}

void AddDuty(Json& json, const manifest::GroupRank& duty) {
  json["group"] = duty.group;
  json["rank"] = duty.rank;
}

void AddDuty(Json& json, const manifest::ServiceReplica& duty) {
  json["service"] = duty.service;
}

Json ToJson(const manifest::Endpoint& endpoint) {
  Json json = {{"name", endpoint.name},
               {"failure_domain", endpoint.failure_domain},
               {"traffic_address", endpoint.traffic_address},
               {"peer_address", endpoint.peer_address},
               {"checks_fencing", endpoint.checks_fencing}};
  std::visit([&](const auto& duty) { AddDuty(json, duty); }, endpoint.duty);
  return json;
}

template <typename Items>
Json ToJsonArray(const Items& items) {
  Json array = Json::array();
  for (const auto& item : items) {
    array.push_back(ToJson(item));
  }
  return array;
}

}  // namespace

std::variant<manifest::Manifest, common::Findings> Parse(
    std::string_view text) {
  const Json json = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (json.is_discarded()) {
    return common::Findings{{"", "is not JSON"}};
  }
  common::Findings findings;
  manifest::Manifest manifest = ReadManifest(json, findings);
  const common::Findings checked = manifest::Check(manifest);
  for (const common::Finding& finding : checked) {
    const bool reported = std::any_of(findings.begin(), findings.end(),
                                      [&](const common::Finding& earlier) {
                                        return earlier.place == finding.place;
                                      });
    if (!reported) {
      findings.push_back(finding);
    }
  }
  if (!findings.empty()) {
    return findings;
  }
  return manifest;
}

std::string Format(const manifest::Manifest& manifest) {
  Json json = {
      {"groups", ToJsonArray(manifest.groups)},
      {"services", ToJsonArray(manifest.services)},
      {"customers", ToJsonArray(manifest.customers)},
      {"endpoints", ToJsonArray(manifest.endpoints)},
      {"phase", common::NameOf(manifest::kWindDownPhaseNames, manifest.phase)}};
  if (!manifest.end_date.empty()) {
    json["end_date"] = manifest.end_date;
  }
  return json.dump(2);
}

}  // namespace wagtailshore::manifest_codec
