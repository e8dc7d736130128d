#ifndef DAEMON_GATEWAY_CRASH_WATCH_H_
#define DAEMON_GATEWAY_CRASH_WATCH_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/enum_names.h"
#include "coordination/quarantine/quarantine.h"
#include "daemon/gateway/crash_exchange.h"
#include "state/fleet/fleet.h"
#include "transport/event_loop/event_loop.h"
#include "transport/http_channel/http_call.h"
#include "transport/stream_socket/connect_probe.h"

namespace wagtailshore::gateway {

struct CrashWatchOptions {
  std::string store_address;
  // How often endpoints renew their entries in the list.
  common::Duration endpoint_heartbeat = common::milliseconds(1200);
  // Time between reads of the list.
  common::Duration endpoints_period = common::milliseconds(1600);
  // An endpoint that ends closes its connections slightly before its listening
  // socket, so the probe waits this long.
  common::Duration probe_delay = common::milliseconds(10);
  common::Duration probe_timeout = common::milliseconds(250);
  // A crash at an endpoint that does not answer the probe is reported after
  // this time, unless other endpoints of its failure domain turn out not to
  // answer either. A cut link would otherwise make every gateway report every
  // request.
  common::Duration silent_report_delay = common::seconds(1);
  // Unanswered attempts whose endpoint is to be found out; further ones are
  // taken for not crashed.
  size_t max_unresolved = 1000;
};

// What shows that an endpoint's process has ended.
enum class LossEvidence {
  kRefusesConnections,
  // It does not answer connection attempts; it may be cut off.
  kSilent,
  // The platform's list no longer has the process.
  kNotListed,
};

inline constexpr common::EnumNames<LossEvidence, 3> kLossEvidenceNames = {{
    {LossEvidence::kRefusesConnections, "refuses_connections"},
    {LossEvidence::kSilent, "silent"},
    {LossEvidence::kNotListed, "not_listed"},
}};

// Finds out which contents and parts of prompts crash the endpoints that run
// them, and decides whether an attempt with them may be sent. Shares what it
// finds with the other gateways.
//
// A broken connection is no proof of a crash, as endpoints and links also reset
// connections. An attempt without an answer counts as a crash only if its
// endpoint then refuses connections, or the platform's list shows that its
// process ended without announcing it.
class CrashWatch {
 public:
  CrashWatch(event_loop::EventLoop& loop,
             http_channel::HttpCaller& caller,
             const CrashWatchOptions& options,
             store_era::StoreEra& era,
             store_revisions::StoreRevisions& revisions,
             const fleet::Fleet& fleet);

  void Start() { exchange_.Start(); }

  quarantine::Verdict Check(const quarantine::Factors& factors);
  // An attempt that Check() allowed is sent to this process of an endpoint.
  // Returns the attempt's number. One of the next three calls ends it.
  uint64_t OnSent(const quarantine::Factors& factors,
                  const std::string& process);
  // The endpoint answered the attempt with success.
  void OnAnswered(uint64_t attempt);
  // The attempt did not run, failed at an endpoint that goes on working, or was
  // given up.
  void OnAbandoned(uint64_t attempt);
  // The connection broke, or nothing arrived for a long time.
  void OnUnanswered(uint64_t attempt, const std::string& process);

  // The fleet has changed.
  void OnFleetChange();
  // The store is available after an outage.
  void OnStoreBack() { exchange_.OnStoreBack(); }
  // Another call's answer showed the store's newest revision.
  void OnRevisionShown() { exchange_.OnRevisionShown(); }

  size_t suspects() const { return quarantine_.suspects(); }
  size_t shared_crashes() const { return exchange_.rows(); }

 private:
  // An endpoint's process, as last listed.
  struct ListedProcess {
    std::string process;
    std::string failure_domain;
    bool draining = false;
  };
  struct LostProcess {
    std::string failure_domain;
    common::Time at{};
    LossEvidence evidence = LossEvidence::kNotListed;
  };
  struct UnansweredAttempt {
    uint64_t number = 0;
    // From then on it counts as not crashed.
    common::Time until{};
  };
  // Unanswered attempts at one process that may have ended.
  struct Unresolved {
    std::vector<UnansweredAttempt> attempts;
    std::unique_ptr<stream_socket::ConnectProbe> probe;
    bool probe_pending = false;
  };

  // Starts a probe of the process after a delay, unless one is under way.
  void ScheduleProbe(const std::string& process);
  void Probe(const std::string& process);
  void OnProbed(const std::string& process,
                const std::string& failure_domain,
                common::Time probed_at,
                bool accepted);
  void OnProcessLost(const std::string& process,
                     const std::string& failure_domain,
                     LossEvidence evidence);
  // The attempt was unanswered when its process ended.
  void RecordCrash(uint64_t attempt, const LostProcess& lost);
  // Tells the other gateways.
  void Report(const quarantine::Crash& crash, const LostProcess& lost);
  // Unresolved attempts at the process whose time is over by `now` count as not
  // crashed.
  void Release(const std::string& process, common::Time now);
  // Withdraws the crashes of a process that is still listed.
  void VerifyLoss(const std::string& process, common::Time lost_at);
  void OnReported(const crash_report::CrashReport& report,
                  common::Time detected_at);
  // Logs the factors that were quarantined meanwhile, after the callbacks in
  // progress: reports come many at a time.
  void LogQuarantinedLater();
  void LogQuarantined();
  // The crash for the log.
  std::string FieldsOf(const quarantine::Crash& crash) const;

  event_loop::EventLoop& loop_;
  CrashWatchOptions options_;
  const fleet::Fleet& fleet_;
  quarantine::Quarantine quarantine_;
  CrashExchange exchange_;
  // By endpoint id.
  std::map<std::string, ListedProcess> listed_;
  // By process.
  std::map<std::string, Unresolved> unresolved_;
  size_t unresolved_attempts_ = 0;
  bool log_pending_ = false;
  // Processes lost recently. Attempts may end after their endpoint is known to
  // be lost.
  std::map<std::string, LostProcess> lost_;
};

}  // namespace wagtailshore::gateway

#endif  // DAEMON_GATEWAY_CRASH_WATCH_H_
