#ifndef CROWD_PROCESS_USAGE_H_
#define CROWD_PROCESS_USAGE_H_

#include <sys/types.h>

#include <cstddef>
#include <cstdint>

// What a process takes from its machine, as the kernel counts it.
namespace wagtailshore::crowd {

inline constexpr size_t kBytesPerMegabyte = size_t{1} << 20;

// Resident memory in bytes, now and at its peak; 0 when the process is gone.
size_t ResidentBytes(pid_t process);
size_t PeakResidentBytes(pid_t process);
// Number of open descriptors; 0 when the process is gone.
size_t OpenDescriptors(pid_t process);
// Bytes that the kernel has received and no process has read, over all TCP
// connections to a local IPv4 port.
size_t UnreadBytes(uint16_t port);

}  // namespace wagtailshore::crowd

#endif  // CROWD_PROCESS_USAGE_H_
