#ifndef E2E_CHILD_PROCESS_H_
#define E2E_CHILD_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "common/time.h"

namespace wagtailshore::e2e {

// A program started by a test. The destructor kills it if it still runs.
class ChildProcess {
 public:
  // `command` is the program's path and its arguments. Its output is appended
  // to the file at `log_path`.
  ChildProcess(const std::vector<std::string>& command,
               const std::string& log_path);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t pid() const { return pid_; }
  // Sends a signal, unless the program is known to have exited.
  void Signal(int signal) const;
  // Waits up to `timeout` for the program to exit. Returns its exit code, or
  // 128 plus the signal's number when a signal ended it, or nullopt when it
  // still runs.
  std::optional<int> WaitForExit(common::Duration timeout);

 private:
  pid_t pid_ = -1;
  std::optional<int> exit_code_;
};

}  // namespace wagtailshore::e2e

#endif  // E2E_CHILD_PROCESS_H_
