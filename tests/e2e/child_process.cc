#include "e2e/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <thread>

#include "common/invariant.h"

namespace wagtailshore::e2e {
namespace {

constexpr common::Duration kPollPeriod = common::milliseconds(10);
constexpr int kSignalExitBase = 128;
constexpr int kLogMode = 0644;

}  // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& command,
                           const std::string& log_path) {
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (const std::string& word : command) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int result = posix_spawn(&pid_, arguments[0], &actions, nullptr,
                                 arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  WS_INVARIANT(result == 0) << "cannot start " << command[0];
}

ChildProcess::~ChildProcess() {
  if (exit_code_.has_value()) {
    return;
  }
  Signal(SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void ChildProcess::Signal(int signal) const {
  if (!exit_code_.has_value()) {
    kill(pid_, signal);
  }
}

std::optional<int> ChildProcess::WaitForExit(common::Duration timeout) {
  const common::Time deadline = common::Clock::now() + timeout;
  // Polls at least once, also when `timeout` is zero.
  while (!exit_code_.has_value()) {
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == pid_) {
      exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status)
                                     : kSignalExitBase + WTERMSIG(status);
      break;
    }
    if (common::Clock::now() >= deadline) {
      break;
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
  return exit_code_;
}

}  // namespace wagtailshore::e2e
