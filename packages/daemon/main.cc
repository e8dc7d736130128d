#include <glog/logging.h>
#include <signal.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <variant>
#include <vector>

#include "common/event_log.h"
#include "common/strings.h"
#include "daemon/companion/companion.h"
#include "daemon/endpoint/endpoint.h"
#include "daemon/entry/entry.h"
#include "daemon/gateway/gateway.h"
#include "daemon/settings/settings.h"
#include "platform/settings.h"
#include "transport/event_loop/busy_log.h"
#include "transport/event_loop/event_loop.h"
#include "transport/http_client/http_client.h"
#include "transport/log_output/log_output.h"
#include "transport/machine/machine.h"

namespace wagtailshore {
namespace {

constexpr int kExitSuccess = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

// Blocks the stop signals in all threads, so that only sigwait() in the main
// thread receives them. Must be called before any thread starts.
sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

template <typename Role>
int Run(const settings::Settings& settings, const sigset_t& stop_signals) {
  auto role = Role::Start(settings);
  if (!role.ok()) {
    std::cerr << "wagtailshored: " << role.status().message() << "\n";
    return kExitFailure;
  }
  common::LogEvent(common::EventId::kProcessStarted,
                   common::StrCat("name=", settings.name,
                                  " failure_domain=", settings.failure_domain));
  int signal = 0;
  sigwait(&stop_signals, &signal);
  common::LogEvent(common::EventId::kProcessDraining,
                   common::StrCat("signal=", signal));
  (*role)->Drain();
  common::LogEvent(common::EventId::kProcessStopped, "");
  google::FlushLogFiles(google::GLOG_INFO);
  // All work in flight has ended. The destructors are skipped: they have
  // nothing left to do, and nng can block forever when it closes a socket.
  std::_Exit(kExitSuccess);
}

// Runs a hosted role until it has drained after a stop signal. `started` is the
// result of starting it.
template <typename HostedRole>
int Serve(event_loop::EventLoop& loop,
          log_output::LogOutput& log,
          const serving::HostedSettings& settings,
          HostedRole& role,
          const absl::Status& started) {
  if (!started.ok()) {
    std::cerr << "wagtailshored: " << started.message() << "\n";
    return kExitFailure;
  }
  common::LogEvent(common::EventId::kProcessStarted,
                   common::StrCat("name=", settings.name,
                                  " failure_domain=", settings.failure_domain));
  for (const int stop_signal : {SIGTERM, SIGINT}) {
    loop.OnSignal(stop_signal, [&role, stop_signal] {
      common::LogEvent(common::EventId::kProcessDraining,
                       common::StrCat("signal=", stop_signal));
      role.Drain();
    });
  }
  loop.OnSignal(SIGHUP, [] {
    common::LogEvent(common::EventId::kReloadSignal,
                     "settings=those_of_the_start");
  });
  loop.Run();
  common::LogEvent(common::EventId::kProcessStopped, "");
  log.Flush();
  // The role has answered what it could. The destructors have nothing left to
  // do.
  std::_Exit(kExitSuccess);
}

// Runs a hosted role on one event loop, with the settings from the platform's
// settings file.
int RunHosted(const settings::Settings& settings) {
  const platform::SettingsResult result =
      platform::ReadSettings(platform::SettingsPath());
  if (const auto* findings = std::get_if<common::Findings>(&result)) {
    std::cerr << common::FormatFindings(*findings);
    return kExitUsage;
  }
  signal(SIGPIPE, SIG_IGN);
  event_loop::EventLoop loop;
  log_output::LogOutput log(loop, {});
  event_loop::LogBusyPeriods(loop);
  const auto& hosted_settings = std::get<serving::HostedSettings>(result);
  if (settings.role == settings::Role::kCompanion) {
    companion::Companion role(loop, hosted_settings, {});
    return Serve(loop, log, hosted_settings, role, role.Start());
  }
  gateway::Gateway role(loop, hosted_settings);
  return Serve(loop, log, hosted_settings, role,
               role.Start(settings.metrics_address));
}

int Main(int argc, char** argv) {
  machine::ConfigureAllocator();
  google::InitGoogleLogging(argv[0]);
  FLAGS_logtostderr = true;
  const settings::ReadResult result =
      settings::Read(std::vector<std::string>(argv, argv + argc),
                     &settings::ProcessEnvironment);
  if (std::holds_alternative<settings::NothingToRun>(result)) {
    return kExitSuccess;
  }
  if (const auto* findings = std::get_if<common::Findings>(&result)) {
    std::cerr << common::FormatFindings(*findings);
    return kExitUsage;
  }
  const auto& settings = std::get<settings::Settings>(result);
  if (settings::IsHosted(settings.role)) {
    return RunHosted(settings);
  }
  const sigset_t stop_signals = BlockStopSignals();
  signal(SIGPIPE, SIG_IGN);
  http_client::InitializeLibrary(client_budget::CallBytes(
      machine::LimitsWithin(settings.memory_bytes, settings.max_descriptors)));
  return settings.role == settings::Role::kEntry
             ? Run<entry::Entry>(settings, stop_signals)
             : Run<endpoint::Endpoint>(settings, stop_signals);
}

}  // namespace
}  // namespace wagtailshore

int main(int argc, char** argv) {
  return wagtailshore::Main(argc, argv);
}
