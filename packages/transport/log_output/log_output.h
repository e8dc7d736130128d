#ifndef TRANSPORT_LOG_OUTPUT_LOG_OUTPUT_H_
#define TRANSPORT_LOG_OUTPUT_LOG_OUTPUT_H_

#include <glog/logging.h>

#include <cstdint>
#include <string>

#include "common/time.h"
#include "transport/event_loop/event_loop.h"

namespace wagtailshore::log_output {

struct LogOutputOptions {
  // Limit on the buffered lines that are waiting to be written to standard
  // output.
  size_t max_buffer_bytes = 256UL * 1024;
  // Limit on the lines accepted per second.
  uint32_t max_lines_per_second = 400;
  // How often buffered lines are written.
  common::Duration flush_period = common::milliseconds(200);
};

// Writes the lines of glog to standard output without blocking on a slow
// reader. Lines beyond the limits are dropped and counted; the next accepted
// line is preceded by a line with the number dropped.
class LogOutput final : public google::base::Logger {
 public:
  // Becomes the logger for all levels of glog. Must outlive all logging.
  LogOutput(event_loop::EventLoop& loop, LogOutputOptions options);

  void Write(bool force_flush,
             time_t timestamp,
             const char* message,
             size_t length) override;
  // Writes as much of the buffer to standard output as is possible without
  // blocking.
  void Flush() override;
  google::uint32 LogSize() override { return 0; }

  // Number of lines dropped so far.
  uint64_t dropped() const { return dropped_; }

 private:
  bool HasRoom(size_t bytes);

  event_loop::EventLoop& loop_;
  LogOutputOptions options_;
  std::string buffer_;
  common::Time second_began_{};
  uint32_t lines_this_second_ = 0;
  uint64_t dropped_ = 0;
  uint64_t dropped_unreported_ = 0;
};

}  // namespace wagtailshore::log_output

#endif  // TRANSPORT_LOG_OUTPUT_LOG_OUTPUT_H_
