#ifndef COMMON_JSON_INTEGER_H_
#define COMMON_JSON_INTEGER_H_

#include <cmath>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <utility>
#include <vector>

namespace wagtailshore::common {

// Returns the whole number in `json`, also if it is written with a fraction of
// zero or an exponent (4.0, 4e0). Returns nullopt if it is not a whole number
// or does not fit into `Integer`; the library's own conversion would wrap or be
// undefined.
template <typename Integer>
std::optional<Integer> FindInteger(const nlohmann::json& json) {
  // From here on, a double may stand for several whole numbers.
  constexpr double kFirstInexact = 1LL << std::numeric_limits<double>::digits;
  if (json.is_number_unsigned()) {
    const auto number = json.get<uint64_t>();
    return std::in_range<Integer>(number)
               ? std::optional<Integer>(static_cast<Integer>(number))
               : std::nullopt;
  }
  int64_t number = 0;
  if (json.is_number_integer()) {
    number = json.get<int64_t>();
  } else if (json.is_number_float()) {
    const auto written = json.get<double>();
    // Also false for what is not a number.
    if (!(std::abs(written) < kFirstInexact) ||
        written != std::trunc(written)) {
      return std::nullopt;
    }
    number = static_cast<int64_t>(written);
  } else {
    return std::nullopt;
  }
  return std::in_range<Integer>(number)
             ? std::optional<Integer>(static_cast<Integer>(number))
             : std::nullopt;
}

// Like FindInteger(), but throws std::out_of_range.
template <typename Integer>
Integer IntegerFrom(const nlohmann::json& json) {
  const auto number = FindInteger<Integer>(json);
  if (!number.has_value()) {
    throw std::out_of_range("not an integer in range");
  }
  return *number;
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
