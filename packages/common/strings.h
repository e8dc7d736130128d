#ifndef COMMON_STRINGS_H_
#define COMMON_STRINGS_H_

#include <string>
#include <string_view>

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

// Wrappers that let Abseil's string functions accept std::string_view; the
// packaged build of Abseil has its own string_view type.
namespace wagtailshore::common {

constexpr absl::string_view AsAbsl(std::string_view text) {
  return {text.data(), text.size()};
}

// Returns other types unchanged; Abseil's functions accept them.
template <typename T>
constexpr const T& AsAbsl(const T& value) requires(
    !std::is_same_v<T, std::string_view>) {
  return value;
}

// absl::StrCat that also accepts std::string_view.
template <typename... Args>
std::string StrCat(const Args&... args) {
  return absl::StrCat(AsAbsl(args)...);
}

// absl::StrAppend that also accepts std::string_view.
template <typename... Args>
void StrAppend(std::string* to, const Args&... args) {
  absl::StrAppend(to, AsAbsl(args)...);
}

}  // namespace wagtailshore::common

#endif  // COMMON_STRINGS_H_
