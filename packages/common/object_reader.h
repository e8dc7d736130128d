#ifndef COMMON_OBJECT_READER_H_
#define COMMON_OBJECT_READER_H_

#include <chrono>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <ratio>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/container/inlined_vector.h"
#include "common/enum_names.h"
#include "common/finding.h"
#include "common/json_integer.h"
#include "common/strings.h"
#include "common/time.h"

namespace wagtailshore::common {

// Reads the fields of one JSON object of another writer.
//
// A value whose meaning is certain is read, however it is written: a whole
// number also as 4.0 or 4e0, and one item also in place of a list of one. Any
// other value of another type, null included, is malformed: it is reported, and
// the field keeps its default. Only an absent field keeps it without a finding.
class ObjectReader {
 public:
  // `place` is the object's JSON pointer. `object` and `findings` must outlive
  // the reader.
  ObjectReader(const nlohmann::json& object,
               std::string place,
               Findings& findings);

  // Reads the field like Optional(), and reports it when it is missing.
  template <typename... Value>
  void Required(const char* field, Value&... value) {
    if (!Has(field)) {
      Report(field, "is missing");
      return;
    }
    Optional(field, value...);
  }

  // Returns the field's text, and reports it when it is missing, malformed or
  // empty.
  std::string RequiredText(const char* field);

  // Read the field if it is there, and report it when it is malformed. Return
  // whether it is there and valid; `value` stays as it is otherwise.
  bool Optional(const char* field, std::string& value);
  bool Optional(const char* field, bool& value);
  bool Optional(const char* field, double& value);
  template <std::integral Value>
  bool Optional(const char* field, Value& value) {
    return ReadIf(field, value, "must be a whole number in range",
                  FindInteger<Value>);
  }
  template <std::integral Value>
  bool Optional(const char* field, std::optional<Value>& value) {
    Value found{};
    if (!Optional(field, found)) {
      return false;
    }
    value = found;
    return true;
  }
  template <typename Enum, size_t N>
  bool Optional(const char* field,
                Enum& value,
                const EnumNames<Enum, N>& names) {
    const nlohmann::json* json = Find(field);
    if (json == nullptr) {
      return false;
    }
    const std::optional<Enum> found =
        json->is_string() ? ValueOf(names, json->get_ref<const std::string&>())
                          : std::nullopt;
    if (!found.has_value()) {
      std::string message = "must be one of";
      for (const auto& entry : names) {
        StrAppend(&message, " \"", entry.name, "\"");
      }
      Report(field, std::move(message));
      return false;
    }
    value = *found;
    return true;
  }

  // Read a whole or fractional number of milliseconds or seconds, from 0 to a
  // year, like Optional().
  bool OptionalMilliseconds(const char* field, Duration& value) {
    return ReadDuration<std::milli>(field, "milliseconds", value);
  }
  bool OptionalSeconds(const char* field, Duration& value) {
    return ReadDuration<std::ratio<1>>(field, "seconds", value);
  }

  // Appends the list's strings, if the field is there, and reports each item
  // that is none.
  void OptionalStrings(const char* field, std::vector<std::string>& values);

  // Calls `visit(item, place)` for each item of the list, if the field is
  // there. `visit` returns whether the item is one that the list can have. One
  // such item may stand in place of the list; anything else there is a single
  // finding, whatever `visit` reported of it.
  template <typename Visit>
  void ForEach(const char* field, Visit visit) {
    const nlohmann::json* json = Find(field);
    if (json == nullptr) {
      return;
    }
    const std::string place = StrCat(place_, "/", field);
    if (json->is_array()) {
      for (size_t i = 0; i < json->size(); ++i) {
        visit((*json)[i], StrCat(place, "/", i));
      }
      return;
    }
    const size_t earlier_findings = findings_.size();
    if (!visit(*json, place)) {
      findings_.resize(earlier_findings);
      Report(field, "must be a list, or one item of it");
    }
  }

  // Whether the field is there, also if it is null.
  bool Has(const char* field) { return Find(field) != nullptr; }

  // Adds a finding; an empty field stands for the object itself.
  void Report(std::string_view field, std::string message);

  // Must be called after all known fields have been read.
  void ReportUnknownFields();

 private:
  // Reads the field if it is there and `convert` has a value for it, and
  // returns whether. Reports `expected` if it is there without one.
  template <typename Value, typename Convert>
  bool ReadIf(const char* field,
              Value& value,
              const char* expected,
              Convert convert) {
    const nlohmann::json* json = Find(field);
    if (json == nullptr) {
      return false;
    }
    auto found = convert(*json);
    if (!found.has_value()) {
      Report(field, expected);
      return false;
    }
    value = *std::move(found);
    return true;
  }

  template <typename Period>
  bool ReadDuration(const char* field, const char* unit, Duration& value) {
    // Longer than a year is not a plausible duration in any setting or message.
    constexpr std::chrono::duration<double> kMax = std::chrono::hours(365 * 24);
    double count = 0;
    if (!Optional(field, count)) {
      return false;
    }
    const std::chrono::duration<double, Period> found(count);
    if (found < found.zero() || found > kMax) {
      Report(field, StrCat("must be from 0 to a year, in ", unit));
      return false;
    }
    value = std::chrono::duration_cast<Duration>(found);
    return true;
  }

  // The field; null when it is absent.
  const nlohmann::json* Find(const char* field);

  const nlohmann::json& object_;
  std::string place_;
  Findings& findings_;
  // Names of the fields that were read; rows of long tables have few.
  absl::InlinedVector<std::string_view, 8> known_;
};

}  // namespace wagtailshore::common

#endif  // COMMON_OBJECT_READER_H_
