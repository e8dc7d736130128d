#include "crowd/process_usage.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <system_error>

#include "common/strings.h"

namespace wagtailshore::crowd {
namespace {

constexpr size_t kBytesPerKilobyte = 1024;
constexpr int kHexadecimal = 16;

// A field of /proc/PID/status that is given in kilobytes, in bytes.
size_t StatusField(pid_t process, const std::string& name) {
  std::ifstream status(common::StrCat("/proc/", process, "/status"));
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with(name)) {
      std::istringstream fields(line.substr(name.size()));
      size_t kilobytes = 0;
      fields >> kilobytes;
      return kilobytes * kBytesPerKilobyte;
    }
  }
  return 0;
}

size_t HexAfterColon(const std::string& field) {
  return std::stoul(field.substr(field.find(':') + 1), nullptr, kHexadecimal);
}

}  // namespace

size_t ResidentBytes(pid_t process) {
  return StatusField(process, "VmRSS:");
}

size_t PeakResidentBytes(pid_t process) {
  return StatusField(process, "VmHWM:");
}

size_t OpenDescriptors(pid_t process) {
  std::error_code error;
  const std::filesystem::directory_iterator descriptors(
      common::StrCat("/proc/", process, "/fd"), error);
  if (error) {
    return 0;
  }
  return static_cast<size_t>(
      std::distance(begin(descriptors), end(descriptors)));
}

size_t UnreadBytes(uint16_t port) {
  std::ifstream connections("/proc/net/tcp");
  std::string line;
  std::getline(connections, line);
  size_t bytes = 0;
  while (std::getline(connections, line)) {
    // Number, local address, remote address, state, and "SENT:RECEIVED", the
    // sizes of the two queues. Of a listening socket they count connections.
    std::istringstream fields(line);
    std::string number;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    fields >> number >> local >> remote >> state >> queues;
    constexpr const char* kListening = "0A";
    if (!queues.empty() && state != kListening &&
        HexAfterColon(local) == port) {
      bytes += HexAfterColon(queues);
    }
  }
  return bytes;
}

}  // namespace wagtailshore::crowd
