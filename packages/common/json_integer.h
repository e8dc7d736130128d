#ifndef COMMON_JSON_INTEGER_H_
#define COMMON_JSON_INTEGER_H_

#include <cmath>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>
#include <vector>

namespace wagtailshore::common {

// Returns the integer in `json`. Throws std::out_of_range if it is not an
// integer or does not fit into `Integer`; the library's own conversion would
// wrap or be undefined.
template <typename Integer>
Integer IntegerFrom(const nlohmann::json& json) {
  if (json.is_number_unsigned() &&
      std::in_range<Integer>(json.get<uint64_t>())) {
    return static_cast<Integer>(json.get<uint64_t>());
  }
  if (json.is_number_integer() && !json.is_number_unsigned() &&
      std::in_range<Integer>(json.get<int64_t>())) {
    return static_cast<Integer>(json.get<int64_t>());
  }
  throw std::out_of_range("not an integer in range");
}

// Returns `json`, which must be an array. Throws std::invalid_argument if it is
// none: a loop over null would take it for an empty one, and one over an object
// for a list of its values.
inline const nlohmann::json& ArrayFrom(const nlohmann::json& json) {
  if (!json.is_array()) {
    throw std::invalid_argument("not an array");
  }
  return json;
}

// Returns the finite number in `json`. Throws std::out_of_range if it is none.
inline double NumberFrom(const nlohmann::json& json) {
  if (!json.is_number() || !std::isfinite(json.get<double>())) {
    throw std::out_of_range("not a finite number");
  }
  return json.get<double>();
}

// Returns the integers in the array `json`. Throws as the functions above do.
template <typename Integer>
std::vector<Integer> IntegersFrom(const nlohmann::json& json) {
  std::vector<Integer> integers;
  for (const nlohmann::json& item : ArrayFrom(json)) {
    integers.push_back(IntegerFrom<Integer>(item));
  }
  return integers;
}

}  // namespace wagtailshore::common

#endif  // COMMON_JSON_INTEGER_H_
