#include "protocol/manifest_codec/manifest_codec.h"

#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "common/strings.h"

namespace wagtailshore::manifest_codec {
namespace {

using Json = nlohmann::json;

// Reads the fields of one JSON object. Reports fields that are missing, unknown
// or of the wrong type.
class ObjectReader {
 public:
  ObjectReader(const Json& object, std::string place, common::Findings& out)
      : object_(object), place_(std::move(place)), findings_(out) {
    if (!object_.is_object()) {
      Report("", "must be an object");
    }
  }

  void Required(const char* field, std::string& value) {
    if (Find(field) == nullptr) {
      Report(field, "is missing");
      return;
    }
    Optional(field, value);
  }

  void Optional(const char* field, std::string& value) {
    ReadIf(field, value, "must be a string",
           [](const Json& json) { return json.is_string(); });
  }

  void Optional(const char* field, int& value) {
    ReadIf(field, value, "must be a whole number", [](const Json& json) {
      constexpr double kMax = std::numeric_limits<int>::max();
      return json.is_number_integer() && json.get<double>() <= kMax &&
             json.get<double>() >= -kMax;
    });
  }

  void Optional(const char* field, double& value) {
    ReadIf(field, value, "must be a number",
           [](const Json& json) { return json.is_number(); });
  }

  void Optional(const char* field, bool& value) {
    ReadIf(field, value, "must be true or false",
           [](const Json& json) { return json.is_boolean(); });
  }

  template <typename Enum, size_t N>
  void Optional(const char* field,
                Enum& value,
                const common::EnumNames<Enum, N>& names) {
    const Json* json = Find(field);
    if (json == nullptr) {
      return;
    }
    const std::optional<Enum> found =
        json->is_string()
            ? common::ValueOf(names, json->get_ref<const std::string&>())
            : std::nullopt;
    if (!found.has_value()) {
      std::string message = "must be one of";
      for (const auto& entry : names) {
        common::StrAppend(&message, " \"", entry.name, "\"");
      }
      Report(field, message);
      return;
    }
    value = *found;
  }

  void Optional(const char* field, std::vector<std::string>& values) {
    ForEach(field, [&](const Json& item, const std::string& place) {
      if (!item.is_string()) {
        findings_.push_back({place, "must be a string"});
        return;
      }
      values.push_back(item.get<std::string>());
    });
  }

  // Calls `visit(item, place)` for each item of the array.
  template <typename Visit>
  void ForEach(const char* field, Visit visit) {
    const Json* json = Find(field);
    if (json == nullptr) {
      return;
    }
    if (!json->is_array()) {
      Report(field, "must be an array");
      return;
    }
    for (size_t i = 0; i < json->size(); ++i) {
      visit((*json)[i], common::StrCat(place_, "/", field, "/", i));
    }
  }

  bool Has(const char* field) { return Find(field) != nullptr; }

  void Report(std::string_view field, std::string message) {
    findings_.push_back(
        {field.empty() ? place_ : common::StrCat(place_, "/", field),
         std::move(message)});
  }

  // Must be called after all known fields have been read.
  void ReportUnknownFields() {
    if (!object_.is_object()) {
      return;
    }
    for (const auto& [name, value] : object_.items()) {
      if (!known_.contains(name)) {
        Report(name, "is not a field of the schema");
      }
    }
  }

 private:
  // Reads the field if it is present and satisfies `fits`. Reports `expected`
  // if it is present but does not.
  template <typename Value, typename Fits>
  void ReadIf(const char* field,
              Value& value,
              const char* expected,
              Fits fits) {
    const Json* json = Find(field);
    if (json == nullptr) {
      return;
    }
    if (!fits(*json)) {
      Report(field, expected);
      return;
    }
    value = json->get<Value>();
  }

  const Json* Find(const char* field) {
    known_.insert(field);
    if (!object_.is_object()) {
      return nullptr;
    }
    const auto found = object_.find(field);
    return found == object_.end() ? nullptr : &*found;
  }

  const Json& object_;
  std::string place_;
  common::Findings& findings_;
  std::set<std::string> known_;
};

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
  reader.Optional("non_idempotent_calls", service.non_idempotent_calls);
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
  });
  reader.ForEach("services", [&](const Json& item, const std::string& place) {
    manifest.services.push_back(ReadService(item, place, findings));
  });
  reader.ForEach("customers", [&](const Json& item, const std::string& place) {
    manifest.customers.push_back(ReadCustomer(item, place, findings));
  });
  reader.ForEach("endpoints", [&](const Json& item, const std::string& place) {
    manifest.endpoints.push_back(ReadEndpoint(item, place, findings));
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
