#include "support/port_reservation.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/invariant.h"

namespace wagtailshore {

PortReservation::PortReservation(uint16_t port)
    : descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int reuse = 1;
  setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
  WS_INVARIANT(bind(descriptor_, reinterpret_cast<sockaddr*>(&address),
                    sizeof(address)) == 0)
      << "the port is free";
}

PortReservation::~PortReservation() {
  close(descriptor_);
}

}  // namespace wagtailshore
