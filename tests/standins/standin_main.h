#ifndef STANDINS_STANDIN_MAIN_H_
#define STANDINS_STANDIN_MAIN_H_

#include <signal.h>
#include <tclap/CmdLine.h>

#include <iostream>
#include <string>

#include "transport/http_server/http_server.h"

// Functions shared by the stand-ins' main functions.
namespace wagtailshore::standins {

// Serves on `address` until SIGTERM or SIGINT. Returns the exit code.
inline int ServeUntilStopped(const std::string& address,
                             http_server::Handler handler) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  auto server =
      http_server::Server::Start({.address = address}, std::move(handler));
  if (!server.ok()) {
    std::cerr << server.status().message() << "\n";
    return 1;
  }
  int received = 0;
  sigwait(&signals, &received);
  return 0;
}

inline http_server::FullResponse Reply(int status, std::string body) {
  return {.status = status, .body = std::move(body)};
}

}  // namespace wagtailshore::standins

#endif  // STANDINS_STANDIN_MAIN_H_
