#ifndef COMMON_DIGEST_H_
#define COMMON_DIGEST_H_

#include <string>
#include <string_view>

namespace wagtailshore::common {

// SHA-256 of `data` as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view data);

// Compares without leaking through its run time where the texts differ.
bool ConstantTimeEquals(std::string_view left, std::string_view right);

// A random identifier of 32 hexadecimal digits, unique for all purposes here.
std::string RandomId();

}  // namespace wagtailshore::common

#endif  // COMMON_DIGEST_H_
