#ifndef SUPPORT_PORT_RESERVATION_H_
#define SUPPORT_PORT_RESERVATION_H_

#include <cstdint>

namespace wagtailshore {

// Keeps a port of the loopback address from being taken by other processes
// while nothing listens on it, so that connections to it are refused.
class PortReservation {
 public:
  explicit PortReservation(uint16_t port);
  ~PortReservation();
  PortReservation(const PortReservation&) = delete;
  PortReservation& operator=(const PortReservation&) = delete;

 private:
  int descriptor_;
};

}  // namespace wagtailshore

#endif  // SUPPORT_PORT_RESERVATION_H_
