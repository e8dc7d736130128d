#ifndef SOAK_SOAK_LEDGER_H_
#define SOAK_SOAK_LEDGER_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/time.h"
#include "support/hosted_world.h"

namespace wagtailshore::soak {

enum class SoakKind { kSafe, kOnce, kStream };

// One request as its caller sent it.
struct SoakRequest {
  SoakKind kind = SoakKind::kSafe;
  std::string key;
  common::Time sent_at{};
};

// Records what callers and endpoints observe, and collects violations of the
// system's guarantees.
class SoakLedger {
 public:
  explicit SoakLedger(common::Duration revocation_bound)
      : revocation_bound_(revocation_bound) {}

  void OnSent(const std::string& id, const SoakRequest& request);
  // An endpoint started to run the request.
  void OnRun(const std::string& id, common::Time now);
  void OnAnswer(const std::string& id,
                const hosted_world::CallerAnswer& answer);
  // An endpoint crashed as it started to run a request with this factor.
  void OnCrash(const std::string& factor) { ++crashes_[factor]; }
  void OnKeyRevoked(const std::string& key, common::Time now);
  void OnViolation(const std::string& what) { violations_.push_back(what); }

  // Runs the checks that need all requests to have ended.
  void Finish();

  const std::vector<std::string>& violations() const { return violations_; }
  int complete() const { return complete_; }
  int refused() const { return refused_; }
  int other() const { return other_; }
  // Crashes of endpoints, by factor.
  const std::map<std::string, int>& crashes() const { return crashes_; }

  // Returns the body of a complete answer to the request. For a stream, the
  // data of each event.
  static std::string BodyOf(const std::string& id);
  // Number of events in a stream.
  static constexpr int kEvents = 6;

 private:
  struct Entry {
    SoakRequest request;
    int runs = 0;
    bool refused_as_not_run = false;
  };

  common::Duration revocation_bound_;
  std::map<std::string, Entry> entries_;
  std::map<std::string, common::Time> revoked_;
  std::vector<std::string> violations_;
  int complete_ = 0;
  int refused_ = 0;
  int other_ = 0;
  std::map<std::string, int> crashes_;
};

}  // namespace wagtailshore::soak

#endif  // SOAK_SOAK_LEDGER_H_
