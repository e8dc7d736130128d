#include "transport/stream_socket/address.h"

#include <arpa/inet.h>

#include "absl/strings/numbers.h"

namespace wagtailshore::stream_socket {

std::optional<sockaddr_in> ParseAddress(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  uint32_t port = 0;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  if (!absl::SimpleAtoi(text.substr(colon + 1), &port) || port > UINT16_MAX ||
      inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) !=
          1) {
    return std::nullopt;
  }
  address.sin_port = htons(static_cast<uint16_t>(port));
  return address;
}

}  // namespace wagtailshore::stream_socket
