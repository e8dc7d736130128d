#ifndef TRANSPORT_STREAM_SOCKET_ADDRESS_H_
#define TRANSPORT_STREAM_SOCKET_ADDRESS_H_

#include <netinet/in.h>

#include <optional>
#include <string>

namespace wagtailshore::stream_socket {

// Parses "IP:port" into an IPv4 socket address. Returns nullopt when `text` is
// not in that form.
std::optional<sockaddr_in> ParseAddress(const std::string& text);

}  // namespace wagtailshore::stream_socket

#endif  // TRANSPORT_STREAM_SOCKET_ADDRESS_H_
