#ifndef COORDINATION_QUARANTINE_QUARANTINE_H_
#define COORDINATION_QUARANTINE_QUARANTINE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "common/time.h"

// Limits a request that crashes every endpoint that runs it to two crashed
// endpoints.
namespace wagtailshore::quarantine {

struct QuarantineOptions {
  // A content's record is dropped this long after its last crash.
  common::Duration retention = common::seconds(600);
  // Most suspect contents that are recorded; of those with the fewest crashes
  // the one that expires first is evicted. Also applies to the cleared ones.
  size_t max_contents = 1024;
  // Most known-good contents that are recorded; the oldest is evicted.
  size_t max_known_good = 4096;
  // Most lost endpoint processes that are recorded; the oldest is evicted.
  size_t max_losses = 4096;
  // A crash is not held against a content if this many other endpoints of the
  // same failure domain, none of which it crashed, were lost within this time
  // before or after it: the failure domain went down under it.
  size_t outage_losses = 2;
  common::Duration outage_window = common::seconds(2);
  // A content that was answered within this time before an endpoint crashed did
  // not crash it. Contents that many callers ask for are in flight at most
  // endpoints that crash.
  common::Duration innocence_time = common::seconds(10);
};

// The attempt may be sent, subject to these restrictions.
struct MayRun {
  // The only endpoint it may be sent to: an attempt with the same content is in
  // flight there, and the content is not known good. If it crashes the
  // endpoint, both attempts together cost one endpoint.
  std::optional<std::string> pinned_endpoint;
  // Endpoints that run another suspect content.
  std::set<std::string> avoid;
};

// Another attempt with this suspect content is in flight; Check() must be
// called again after it has ended.
struct MustWait {};

// One crash of a content.
struct Crash {
  std::string digest;
  // "PROCESS#NUMBER": the endpoint process that crashed, and its earlier
  // crashes.
  std::string name;
};

// Returns the endpoint process of a crash.
std::string ProcessOf(const Crash& crash);
// Returns the endpoint's name in the name of its process, "NAME/INCARNATION".
std::string EndpointNameOf(const std::string& process);

// The content has crashed as many endpoints as it may.
struct Refused {
  common::Duration ends_in{};
};

using Verdict = std::variant<MayRun, MustWait, Refused>;

// A content's record, as entries exchange it.
struct SharedContent {
  std::string digest;
  // The crashes during which it was in flight, by name.
  std::set<std::string> crashes;
  common::Duration ends_in{};
};

// One entry's or gateway's record of contents that were in flight when an
// endpoint crashed. Each of them is a suspect. A suspect has one attempt at a
// time, on an endpoint that runs no other suspect. If the attempt is answered,
// the content is cleared; if the endpoint crashes, the content is quarantined.
class Quarantine {
 public:
  explicit Quarantine(QuarantineOptions options) : options_(options) {}

  Verdict Check(const std::string& digest, common::Time now);
  // An attempt that Check() allowed is sent. `endpoint` names the endpoint's
  // process, "NAME/INCARNATION". Returns the attempt's number.
  uint64_t OnSent(const std::string& digest, const std::string& endpoint);
  // The attempt got no answer, and it is not known yet whether its endpoint
  // crashed; OnEnded() follows. Until then other attempts are no longer
  // restricted by it.
  void OnUnanswered(uint64_t attempt);
  // The attempt ended. `crashed`: its connection broke after it was sent.
  // `answered`: its answer is complete. Returns whether this quarantines its
  // content.
  bool OnEnded(uint64_t attempt, bool crashed, bool answered, common::Time now);

  // An endpoint process in the failure domain ended without being asked to.
  void OnEndpointLost(const std::string& endpoint,
                      const std::string& failure_domain,
                      common::Time lost_at,
                      common::Time now);
  // The endpoint process has not ended after all. Drops its crashes and returns
  // them.
  std::vector<Crash> WithdrawEndpoint(const std::string& endpoint);
  // Another entry has withdrawn the crash, or cleared the content of it.
  void Withdraw(const Crash& crash);
  // Names of the recorded crashes of a content.
  std::set<std::string> CrashesOf(const std::string& digest) const;
  // Content of an attempt that has not ended; empty when there is none.
  std::string ContentOf(uint64_t attempt) const;
  // Whether an answer shows that the content did not crash an endpoint at
  // `crashed_at`.
  bool WasAnswered(const std::string& digest, common::Time crashed_at) const;
  // Whether the crash is recorded and held against its content.
  bool Counts(const Crash& crash) const;
  // Whether the content has crashed as many endpoints as it may.
  bool IsQuarantined(const std::string& digest, common::Time now) const;

  // Returns the records to send to the other entries.
  std::vector<SharedContent> Export(common::Time now) const;
  // Merges the records that another entry sent.
  void Merge(const std::vector<SharedContent>& contents, common::Time now);

  size_t suspects() const { return contents_.size(); }
  // Number of endpoint processes with a recorded crash.
  size_t crashed_endpoints() const { return crash_counts_.size(); }

 private:
  struct InFlight {
    std::string digest;
    std::string endpoint;
    // Crashes of the endpoint before the attempt was sent.
    uint64_t crash_count = 0;
    bool unanswered = false;
  };
  struct Loss {
    std::string endpoint;
    std::string failure_domain;
    common::Time at{};
  };
  struct Content {
    // A set, so that several attempts lost in one crash count once, also when
    // several entries report them.
    std::set<std::string> crashes;
    common::Time until{};
  };

  bool IsSuspect(const std::string& digest) const;
  Content* Find(const std::string& digest, common::Time now);
  bool HasTooManyCrashes(const Content& content) const;
  // Number of the content's crashes that are held against it.
  size_t CountCrashes(const Content& content) const;
  // Whether the failure domain of the crashed endpoint went down.
  bool IsOutage(const Content& content, const std::string& crash) const;
  void TrimRecords();
  void MarkKnownGood(const std::string& digest, common::Time now);

  QuarantineOptions options_;
  std::map<std::string, Content> contents_;
  std::map<uint64_t, InFlight> in_flight_;
  // Crashes that contents were cleared of; other entries may still report them.
  std::map<std::string, Content> cleared_;
  // Contents of which an attempt was answered, and when one last was. The order
  // is that in which they were added, oldest first.
  std::map<std::string, common::Time> known_good_;
  std::deque<std::string> known_good_order_;
  // Number of crashes of each endpoint process that crashed within the
  // retention time, and when it last did.
  struct CrashCount {
    uint64_t crashes = 0;
    common::Time last{};
  };
  std::map<std::string, CrashCount> crash_counts_;
  // By endpoint process.
  std::map<std::string, Loss> losses_;
  uint64_t next_attempt_ = 1;
};

}  // namespace wagtailshore::quarantine

#endif  // COORDINATION_QUARANTINE_QUARANTINE_H_
