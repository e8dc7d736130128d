#include "transport/log_output/log_output.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <string>

namespace wagtailshore::log_output {
namespace {

// Reads what is written to standard output.
class CapturedOutput {
 public:
  CapturedOutput() : saved_(dup(STDOUT_FILENO)) {
    EXPECT_EQ(pipe2(pipe_.data(), O_NONBLOCK), 0);
    dup2(pipe_[1], STDOUT_FILENO);
  }
  ~CapturedOutput() {
    dup2(saved_, STDOUT_FILENO);
    close(saved_);
    close(pipe_[0]);
    close(pipe_[1]);
  }
  CapturedOutput(const CapturedOutput&) = delete;
  CapturedOutput& operator=(const CapturedOutput&) = delete;

  std::string Read() const {
    std::array<char, 4096> buffer;
    const ssize_t bytes = read(pipe_[0], buffer.data(), buffer.size());
    return {buffer.data(), bytes > 0 ? static_cast<size_t>(bytes) : 0};
  }

 private:
  int saved_;
  std::array<int, 2> pipe_{};
};

TEST(LogOutputTest, LineOfAnyLevelIsWrittenOnce) {
  google::InitGoogleLogging("log_output_test");
  std::string text;
  {
    const CapturedOutput captured;
    // Both live as long as the program, as glog keeps the logger.
    static event_loop::EventLoop loop;
    static LogOutput output(loop, {});
    LOG(INFO) << "an info";
    LOG(WARNING) << "a warning";
    LOG(ERROR) << "an error";
    output.Flush();
    text = captured.Read();
  }
  EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 3) << text;
}

}  // namespace
}  // namespace wagtailshore::log_output
