#ifndef TRANSPORT_LOG_OUTPUT_LOG_OUTPUT_H_
#define TRANSPORT_LOG_OUTPUT_LOG_OUTPUT_H_

#include <glog/logging.h>

#include <cstdint>
#include <string>

#include "common/time.h"
#include "transport/event_loop/event_loop.h"

namespace wagtailshore::log_output {

struct LogOutputOptions {
  // Lines that wait for a reader of standard output at most.
  size_t max_buffer_bytes = 256UL * 1024;
  // Lines written in any second at most.
  uint32_t max_lines_per_second = 400;
  // How often lines are handed to the kernel.
  common::Duration flush_period = common::milliseconds(200);
};

// Writes the log library's lines to standard output without ever waiting for
// its reader. What does not fit is dropped, counted and said once there is
// room again.
class LogOutput final : public google::base::Logger {
 public:
  // Takes the log library's lines from now on. Must outlive all logging.
  LogOutput(event_loop::EventLoop& loop, LogOutputOptions options);

  void Write(bool force_flush,
             time_t timestamp,
             const char* message,
             size_t length) override;
  // Hands what is buffered to the kernel as far as it takes it.
  void Flush() override;
  google::uint32 LogSize() override { return 0; }

  uint64_t dropped() const { return dropped_; }

 private:
  bool HasRoom(size_t bytes);

  event_loop::EventLoop& loop_;
  LogOutputOptions options_;
  std::string buffer_;
  common::Time second_began_{};
  uint32_t lines_this_second_ = 0;
  uint64_t dropped_ = 0;
  uint64_t dropped_unsaid_ = 0;
};

}  // namespace wagtailshore::log_output

#endif  // TRANSPORT_LOG_OUTPUT_LOG_OUTPUT_H_
