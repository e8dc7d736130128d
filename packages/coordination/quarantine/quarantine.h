#ifndef COORDINATION_QUARANTINE_QUARANTINE_H_
#define COORDINATION_QUARANTINE_QUARANTINE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "common/time.h"
#include "coordination/quarantine/answered_factors.h"

// Limits how many endpoints are lost to requests that crash every endpoint that
// runs them, whether they have a whole content in common or a part of one.
namespace wagtailshore::quarantine {

// What a crash may be due to, by digest: a request's whole content, or a part
// of its prompt that other requests may have too.
using Factors = std::vector<std::string>;

enum class FactorKind { kContent, kPromptPart };

// Returns the factor for a part of prompts, which depends on the model that
// reads them.
std::string PromptPartFactor(std::string_view part_id, std::string_view model);
FactorKind KindOf(std::string_view factor);
// Returns the factor as it is logged: its kind and the content's digest or the
// part's id.
std::string LogField(std::string_view factor);

struct QuarantineOptions {
  // A factor's record is dropped this long after its last crash.
  common::Duration retention = common::seconds(600);
  // Most suspect factors that are recorded; of those with the fewest crashes
  // the one that expires first is evicted. Also applies to the cleared ones.
  size_t max_records = 1024;
  // Most answered factors of each kind that are recorded.
  size_t max_answered = 4096;
  // Most lost endpoint processes that are recorded; the oldest is evicted.
  size_t max_losses = 4096;
  // A crash is not held against a content if this many other endpoints of the
  // same failure domain, none of which it crashed, were lost within this time
  // before or after it: the failure domain went down under it. A part, which
  // may be in flight at all of them, is held responsible for one in each
  // `outage_duration`.
  size_t outage_losses = 2;
  common::Duration outage_window = common::seconds(2);
  common::Duration outage_duration = common::seconds(1);
  // A factor that was answered within this time before an endpoint crashed did
  // not crash it. What many callers ask for is in flight at most endpoints that
  // crash.
  common::Duration innocence_time = common::seconds(10);
};

// The attempt may be sent, subject to these restrictions.
struct MayRun {
  // The only endpoint it may be sent to: an attempt with one of its factors is
  // in flight there, and the factor was never answered. If it crashes the
  // endpoint, both attempts together cost one endpoint.
  std::optional<std::string> pinned_endpoint;
  // Endpoints that run another suspect factor.
  std::set<std::string> avoid;
};

// Another attempt with a suspect factor is in flight; Check() must be called
// again after it has ended.
struct MustWait {};

// One crash of a factor.
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

// A factor has crashed as many endpoints as it may.
struct Refused {
  common::Duration ends_in{};
};

using Verdict = std::variant<MayRun, MustWait, Refused>;

// A factor's record, as entries exchange it.
struct SharedRecord {
  std::string digest;
  // The crashes during which it was in flight, by name.
  std::set<std::string> crashes;
  common::Duration ends_in{};
};

// What the end of an attempt changed.
struct EndedAttempt {
  // Crashes that are now held against its factors.
  std::vector<Crash> recorded;
  // Crashes that its factors are cleared of.
  std::vector<Crash> cleared;
  // Whether it quarantines one of its factors.
  bool quarantines = false;
};

// One entry's or gateway's record of the factors that were in flight when an
// endpoint crashed. Each of them is a suspect; an answer clears it, and what no
// answer clears over several crashes is quarantined. A crash that one
// quarantined factor alone explains is no longer held against the others. A
// suspect that was never answered has one attempt at a time, on an endpoint
// that runs no other suspect.
class Quarantine {
 public:
  explicit Quarantine(QuarantineOptions options);

  Verdict Check(const Factors& factors, common::Time now);
  // An attempt that Check() allowed is sent. `endpoint` names the endpoint's
  // process, "NAME/INCARNATION". Returns the attempt's number.
  uint64_t OnSent(const Factors& factors, const std::string& endpoint);
  // The attempt got no answer, and it is not known yet whether its endpoint
  // crashed; OnEnded() follows. Until then other attempts are no longer
  // restricted by it.
  void OnUnanswered(uint64_t attempt);
  // The attempt ended. `crashed`: its connection broke after it was sent.
  // `answered`: its answer is complete.
  EndedAttempt OnEnded(uint64_t attempt,
                       bool crashed,
                       bool answered,
                       common::Time now);

  // An endpoint process in the failure domain ended without being asked to.
  void OnEndpointLost(const std::string& endpoint,
                      const std::string& failure_domain,
                      common::Time lost_at,
                      common::Time now);
  // The endpoint process has not ended after all. Drops its crashes and returns
  // them.
  std::vector<Crash> WithdrawEndpoint(const std::string& endpoint,
                                      common::Time now);
  // Another entry has withdrawn the crash, or cleared the factor of it.
  void Withdraw(const Crash& crash, common::Time now);
  // Names of the recorded crashes of a factor.
  std::set<std::string> CrashesOf(const std::string& digest) const;
  // Whether an answer shows that the factor did not crash an endpoint at
  // `crashed_at`.
  bool WasAnswered(const std::string& digest, common::Time crashed_at) const;
  // Whether the crash is recorded and held against its factor.
  bool Counts(const Crash& crash) const;
  // Whether the factor has crashed as many endpoints as it may.
  bool IsQuarantined(const std::string& digest);
  // Returns the factors that became quarantined since the last call.
  std::vector<std::string> TakeNewlyQuarantined();

  // Returns the records to send to the other entries.
  std::vector<SharedRecord> Export(common::Time now) const;
  // Merges the records that another entry sent.
  void Merge(const std::vector<SharedRecord>& records, common::Time now);

  size_t suspects() const { return records_.size(); }
  // Number of endpoint processes with a recorded crash.
  size_t crashed_endpoints() const { return crash_counts_.size(); }

 private:
  struct InFlight {
    Factors factors;
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
  struct Record {
    // A set, so that several attempts lost in one crash count once, also when
    // several entries report them.
    std::set<std::string> crashes;
    common::Time until{};
  };
  using CrashNames = std::set<std::string>;
  // Of a quarantined part: the other parts that explain the same crashes. A
  // request with this part and without one of them tells the two apart.
  using Rivals = std::set<std::string>;

  // Whether a request with these factors is refused for this one.
  bool IsRefused(const Factors& factors, const std::string& digest);
  // Whether attempts with the factor run one at a time.
  bool IsRestricted(const std::string& digest) const;
  // The factor's crashes that are held against it.
  CrashNames CountedCrashes(const std::string& digest,
                            const Record& record) const;
  // Whether the factor is quarantined whatever else explains its crashes.
  bool HasManyCrashes(const std::string& digest, const Record& record) const;
  // Number of crashes after which the factor is quarantined.
  size_t MaxCrashes(const std::string& digest, common::Time now) const;
  // Whether the failure domain of the crashed endpoint went down.
  bool IsOutage(const std::string& digest,
                const Record& record,
                const std::string& crash) const;
  void RemoveLoss(std::map<std::string, Loss>::iterator loss);
  void TrimRecords();
  // Records or losses have changed.
  void OnChange(common::Time now);
  // Decides anew which factors are quarantined, if anything has changed. Each
  // decision goes through all records, and reports come many at a time, so it
  // is made when its result is needed.
  void JudgeIfChanged();
  void Judge(common::Time now);
  // Factors with enough crashes, and those crashes.
  std::map<std::string, CrashNames> Candidates(common::Time now) const;
  // An attempt with the factors was answered. Returns the crashes that they are
  // cleared of.
  std::vector<Crash> Clear(const Factors& factors, common::Time now);
  AnsweredFactors& AnsweredOf(const std::string& digest);
  const AnsweredFactors& AnsweredOf(const std::string& digest) const;

  QuarantineOptions options_;
  std::map<std::string, Record> records_;
  std::map<std::string, Rivals> quarantined_;
  std::map<uint64_t, InFlight> in_flight_;
  // Crashes that factors were cleared of; other entries may still report them.
  std::map<std::string, Record> cleared_;
  // Apart, so that contents, which are many, do not evict parts.
  AnsweredFactors answered_contents_;
  AnsweredFactors answered_parts_;
  // Number of crashes of each endpoint process that crashed within the
  // retention time, and when it last did.
  struct CrashCount {
    uint64_t crashes = 0;
    common::Time last{};
  };
  std::map<std::string, CrashCount> crash_counts_;
  // By endpoint process.
  std::map<std::string, Loss> losses_;
  // Endpoints by when they were lost, by failure domain; the same as losses_.
  std::map<std::string, std::multimap<common::Time, std::string>>
      losses_by_domain_;
  // Time of the last change that quarantined_ does not reflect yet.
  std::optional<common::Time> changed_at_;
  std::set<std::string> newly_quarantined_;
  uint64_t next_attempt_ = 1;
};

}  // namespace wagtailshore::quarantine

#endif  // COORDINATION_QUARANTINE_QUARANTINE_H_
