#include "common/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

#include <array>

#include "absl/strings/escaping.h"
#include "common/invariant.h"

namespace wagtailshore::common {
namespace {

constexpr size_t kSha256Bytes = 32;
constexpr size_t kRandomIdBytes = 16;

std::string ToHex(const unsigned char* bytes, size_t size) {
  return absl::BytesToHexString({reinterpret_cast<const char*>(bytes), size});
}

}  // namespace

std::string Sha256Hex(std::string_view data) {
  std::array<unsigned char, kSha256Bytes> digest{};
  unsigned int size = 0;
  const int done = EVP_Digest(data.data(), data.size(), digest.data(), &size,
                              EVP_sha256(), nullptr);
  WS_INVARIANT(done == 1 && size == kSha256Bytes) << "SHA-256 is available";
  return ToHex(digest.data(), digest.size());
}

bool ConstantTimeEquals(std::string_view left, std::string_view right) {
  if (left.size() != right.size()) {
    return false;
  }
  return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string RandomId() {
  std::array<unsigned char, kRandomIdBytes> bytes{};
  WS_INVARIANT(RAND_bytes(bytes.data(), bytes.size()) == 1)
      << "the random source is available";
  return ToHex(bytes.data(), bytes.size());
}

}  // namespace wagtailshore::common
