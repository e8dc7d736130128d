#include "common/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

#include <array>
#include <memory>

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
  return Sha256Hex({data});
}

std::string Sha256Hex(std::initializer_list<std::string_view> parts) {
  const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(
      EVP_MD_CTX_new(), &EVP_MD_CTX_free);
  std::array<unsigned char, kSha256Bytes> digest{};
  unsigned int size = 0;
  bool done = context != nullptr &&
              EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr) == 1;
  for (const std::string_view part : parts) {
    done =
        done && EVP_DigestUpdate(context.get(), part.data(), part.size()) == 1;
  }
  done = done && EVP_DigestFinal_ex(context.get(), digest.data(), &size) == 1;
  WS_INVARIANT(done && size == kSha256Bytes) << "SHA-256 is available";
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
