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

// Keeps a request that crashes every endpoint that runs it from costing more
// than two of them.
namespace wagtailshore::quarantine {

struct QuarantineOptions {
  // A content that crashed nothing for this long starts afresh.
  common::Duration wind_back = common::seconds(600);
  // Contents remembered at most; the one that ends first is forgotten.
  size_t max_contents = 1024;
  // Contents remembered at most for having ended well.
  size_t max_proven = 4096;
};

// The attempt may be sent, by these rules.
struct MayRun {
  // Send it here, where an attempt with the same content is in flight that has
  // not ended well before: if it crashes the endpoint, both cost one.
  std::optional<std::string> pin;
  // Endpoints that run another suspect.
  std::set<std::string> avoid;
};

// Another attempt with this suspect content is in flight; ask again when it has
// ended.
struct MustWait {};

// The content has crashed two endpoints.
struct Refused {
  common::Duration ends_in{};
};

using Verdict = std::variant<MayRun, MustWait, Refused>;

// What entries tell each other of a content.
struct SharedContent {
  std::string digest;
  // The crashes during which it was in flight, each "endpoint#number".
  std::set<std::string> crashes;
  common::Duration ends_in{};
};

// One entry's record of contents that were in flight when an endpoint crashed.
// Each of them is a suspect. A suspect runs alone among suspects on its
// endpoint, one attempt at a time; if it ends well it is cleared, if the
// endpoint crashes again it is quarantined.
class Quarantine {
 public:
  explicit Quarantine(QuarantineOptions options) : options_(options) {}

  Verdict Check(const std::string& digest, common::Time now);
  // An attempt that Check() allowed is sent to the endpoint, named so that a
  // new process has another name. Returns the attempt's number.
  uint64_t OnSent(const std::string& digest, const std::string& endpoint);
  // The attempt ended; `crashed` if its connection broke after it was sent.
  // Returns whether its content is quarantined by that.
  bool OnEnded(uint64_t attempt, bool crashed, bool answered, common::Time now);

  // Contents to tell the other entries of, and what another one told.
  std::vector<SharedContent> Share(common::Time now) const;
  void Learn(const std::vector<SharedContent>& contents, common::Time now);

  size_t suspects() const { return contents_.size(); }

 private:
  struct InFlight {
    std::string digest;
    std::string endpoint;
    // How often the endpoint had crashed when the attempt was sent.
    uint64_t generation = 0;
  };
  struct Content {
    // A set, so that several attempts lost in one crash count once, also when
    // several entries tell of it.
    std::set<std::string> crashes;
    common::Time until{};
  };

  bool IsSuspect(const std::string& digest) const;
  Content* Find(const std::string& digest, common::Time now);
  void Bound();
  void Prove(const std::string& digest);
  static void BoundTo(size_t max_contents,
                      std::map<std::string, Content>& contents);

  QuarantineOptions options_;
  std::map<std::string, Content> contents_;
  std::map<uint64_t, InFlight> in_flight_;
  // Crashes that contents were cleared of by ending well; other entries may
  // still tell of them.
  std::map<std::string, Content> cleared_;
  // Contents that ended well, the latest last.
  std::set<std::string> proven_;
  std::deque<std::string> proven_order_;
  // Crashes seen of each endpoint.
  std::map<std::string, uint64_t> generations_;
  uint64_t next_attempt_ = 1;
};

}  // namespace wagtailshore::quarantine

#endif  // COORDINATION_QUARANTINE_QUARANTINE_H_
