#ifndef COMMON_ENUM_NAMES_H_
#define COMMON_ENUM_NAMES_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

// Tables that give each value of an enum class its stable external name.
namespace wagtailshore::common {

template <typename Enum>
struct EnumName {
  Enum value;
  std::string_view name;
};

template <typename Enum, size_t N>
using EnumNames = std::array<EnumName<Enum>, N>;

// The name of `value`, or "invalid" when the table lacks it.
template <typename Enum, size_t N>
constexpr std::string_view NameOf(const EnumNames<Enum, N>& names, Enum value) {
  for (const auto& entry : names) {
    if (entry.value == value) {
      return entry.name;
    }
  }
  return "invalid";
}

// The value called `name`, or nothing when the table lacks it.
template <typename Enum, size_t N>
constexpr std::optional<Enum> ValueOf(const EnumNames<Enum, N>& names,
                                      std::string_view name) {
  for (const auto& entry : names) {
    if (entry.name == name) {
      return entry.value;
    }
  }
  return std::nullopt;
}

}  // namespace wagtailshore::common

#endif  // COMMON_ENUM_NAMES_H_
