#include "transport/log_output/log_output.h"

#include <fcntl.h>
#include <unistd.h>

#include "common/strings.h"

namespace wagtailshore::log_output {
namespace {

class DiscardingLogger final : public google::base::Logger {
 public:
  void Write(bool, time_t, const char*, size_t) override {}
  void Flush() override {}
  google::uint32 LogSize() override { return 0; }
};

}  // namespace

LogOutput::LogOutput(event_loop::EventLoop& loop, LogOutputOptions options)
    : loop_(loop), options_(options) {
  fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
  // All levels are written through this logger instead of glog's own files.
  // glog also writes fatal messages to standard error.
  FLAGS_logtostderr = false;
  FLAGS_logtostdout = false;
  FLAGS_alsologtostderr = false;
  FLAGS_stderrthreshold = google::GLOG_FATAL;
  // A message also goes to the loggers of all levels below its own, so that of
  // the lowest one gets each message once.
  google::base::SetLogger(google::GLOG_INFO, this);
  static DiscardingLogger discarding;
  for (int level = google::GLOG_INFO + 1; level < google::NUM_SEVERITIES;
       ++level) {
    google::base::SetLogger(level, &discarding);
  }
  loop_.Every(options_.flush_period, [this] { Flush(); });
}

void LogOutput::Write(bool, time_t, const char* message, size_t length) {
  if (!HasRoom(length)) {
    ++dropped_;
    ++dropped_unreported_;
    return;
  }
  if (dropped_unreported_ > 0) {
    common::StrAppend(&buffer_, "log lines dropped=", dropped_unreported_,
                      "\n");
    dropped_unreported_ = 0;
  }
  buffer_.append(message, length);
}

bool LogOutput::HasRoom(size_t bytes) {
  const common::Time now = loop_.Now();
  if (now - second_began_ >= common::seconds(1)) {
    second_began_ = now;
    lines_this_second_ = 0;
  }
  if (lines_this_second_ >= options_.max_lines_per_second ||
      buffer_.size() + bytes > options_.max_buffer_bytes) {
    return false;
  }
  ++lines_this_second_;
  return true;
}

void LogOutput::Flush() {
  size_t written = 0;
  while (written < buffer_.size()) {
    const ssize_t accepted = write(STDOUT_FILENO, buffer_.data() + written,
                                   buffer_.size() - written);
    if (accepted <= 0) {
      break;
    }
    written += static_cast<size_t>(accepted);
  }
  buffer_.erase(0, written);
}

}  // namespace wagtailshore::log_output
