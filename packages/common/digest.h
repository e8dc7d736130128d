#ifndef COMMON_DIGEST_H_
#define COMMON_DIGEST_H_

#include <initializer_list>
#include <string>
#include <string_view>

namespace wagtailshore::common {

// Returns the SHA-256 of `data` as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view data);
// The same of the texts one after the other, without joining them.
std::string Sha256Hex(std::initializer_list<std::string_view> parts);

// Whether the texts are equal. For texts of the same length, the run time does
// not depend on where they differ.
bool ConstantTimeEquals(std::string_view left, std::string_view right);

// Returns 128 random bits as 32 lower-case hexadecimal digits; these can be
// treated as unique.
std::string RandomId();

}  // namespace wagtailshore::common

#endif  // COMMON_DIGEST_H_
