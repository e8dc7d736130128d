#ifndef E2E_CHILD_PROCESS_H_
#define E2E_CHILD_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "common/time.h"

namespace wagtailshore::e2e {

// A program that a test started; killed when the object goes.
class ChildProcess {
 public:
  // `command` is the program's path and its arguments; what it prints goes to
  // the file at `log_path`.
  ChildProcess(const std::vector<std::string>& command,
               const std::string& log_path);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Signal(int signal) const;
  // The exit code, once the program ended by itself within `timeout`; a
  // program ended by a signal counts as 128 plus the signal's number.
  std::optional<int> WaitForExit(common::Duration timeout);

 private:
  pid_t pid_ = -1;
  std::optional<int> exit_code_;
};

}  // namespace wagtailshore::e2e

#endif  // E2E_CHILD_PROCESS_H_
