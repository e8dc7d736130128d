#include "common/object_reader.h"

#include <algorithm>

namespace wagtailshore::common {

using nlohmann::json;

ObjectReader::ObjectReader(const json& object,
                           std::string place,
                           Findings& findings)
    : object_(object), place_(std::move(place)), findings_(findings) {
  if (!object_.is_object()) {
    Report("", "must be an object");
  }
}

std::string ObjectReader::RequiredText(const char* field) {
  std::string text;
  if (!Has(field)) {
    Report(field, "is missing");
  } else if (Optional(field, text) && text.empty()) {
    Report(field, "must not be empty");
  }
  return text;
}

bool ObjectReader::Optional(const char* field, std::string& value) {
  return ReadIf(field, value, "must be a string", [](const json& found) {
    return found.is_string() ? std::optional(found.get<std::string>())
                             : std::nullopt;
  });
}

bool ObjectReader::Optional(const char* field, bool& value) {
  return ReadIf(field, value, "must be true or false", [](const json& found) {
    return found.is_boolean() ? std::optional(found.get<bool>()) : std::nullopt;
  });
}

bool ObjectReader::Optional(const char* field, double& value) {
  return ReadIf(field, value, "must be a number", [](const json& found) {
    return found.is_number() ? std::optional(found.get<double>())
                             : std::nullopt;
  });
}

void ObjectReader::OptionalStrings(const char* field,
                                   std::vector<std::string>& values) {
  ForEach(field, [&](const json& item, const std::string& place) {
    if (!item.is_string()) {
      findings_.push_back({place, "must be a string"});
      return false;
    }
    values.push_back(item.get<std::string>());
    return true;
  });
}

void ObjectReader::Report(std::string_view field, std::string message) {
  findings_.push_back({field.empty() ? place_ : StrCat(place_, "/", field),
                       std::move(message)});
}

void ObjectReader::ReportUnknownFields() {
  if (!object_.is_object()) {
    return;
  }
  for (const auto& [name, value] : object_.items()) {
    if (std::find(known_.begin(), known_.end(), name) == known_.end()) {
      Report(name, "is not a field of the schema");
    }
  }
}

const json* ObjectReader::Find(const char* field) {
  known_.push_back(field);
  if (!object_.is_object()) {
    return nullptr;
  }
  const auto found = object_.find(field);
  return found == object_.end() ? nullptr : &*found;
}

}  // namespace wagtailshore::common
