#ifndef COMMON_JSON_INTEGER_H_
#define COMMON_JSON_INTEGER_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace wagtailshore::common {

// The whole number in `json`. Throws std::out_of_range for what is not a whole
// number that `Integer` can hold, where the library's own conversion would
// wrap it or be undefined.
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
  throw std::out_of_range("not a whole number in range");
}

}  // namespace wagtailshore::common

#endif  // COMMON_JSON_INTEGER_H_
