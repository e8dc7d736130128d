#ifndef COMMON_ENUM_NAMES_H_
#define COMMON_ENUM_NAMES_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

// Tables that map each value of an enum class to its stable external name.
namespace wagtailshore::common {

template <typename Enum>
struct EnumName {
  Enum value;
  std::string_view name;
};

template <typename Enum, size_t N>
using EnumNames = std::array<EnumName<Enum>, N>;

// Returns the name of `value`, or "invalid" if the table does not contain it.
template <typename Enum, size_t N>
constexpr std::string_view NameOf(const EnumNames<Enum, N>& names, Enum value) {
  for (const auto& entry : names) {
    if (entry.value == value) {
      return entry.name;
    }
  }
  return "invalid";
}

// Returns the value with this name, or nothing if the table does not contain
// it.
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
