#ifndef COMMON_STRINGS_H_
#define COMMON_STRINGS_H_

#include <string>
#include <string_view>

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

// Bridges std::string_view to Abseil, whose packaged build has a string_view
// type of its own.
namespace wagtailshore::common {

constexpr absl::string_view AsAbsl(std::string_view text) {
  return {text.data(), text.size()};
}

// Passes what Abseil's functions take already.
template <typename T>
constexpr const T& AsAbsl(const T& value) requires(
    !std::is_same_v<T, std::string_view>) {
  return value;
}

// absl::StrCat, also for std::string_view.
template <typename... Args>
std::string StrCat(const Args&... args) {
  return absl::StrCat(AsAbsl(args)...);
}

// absl::StrAppend, also for std::string_view.
template <typename... Args>
void StrAppend(std::string* to, const Args&... args) {
  absl::StrAppend(to, AsAbsl(args)...);
}

}  // namespace wagtailshore::common

#endif  // COMMON_STRINGS_H_
