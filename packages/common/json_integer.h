#ifndef COMMON_JSON_INTEGER_H_
#define COMMON_JSON_INTEGER_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

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

}  // namespace wagtailshore::common

#endif  // COMMON_JSON_INTEGER_H_
