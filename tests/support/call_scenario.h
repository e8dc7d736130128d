#ifndef SUPPORT_CALL_SCENARIO_H_
#define SUPPORT_CALL_SCENARIO_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "support/call_world.h"
#include "support/scenario.h"

namespace wagtailshore::test_support {

// Runs scenario scripts for non-idempotent calls on a CallWorld.
// docs/TESTING.md describes the verbs.
class CallScenario final : public scenario::World {
 public:
  using WorldMaker =
      std::function<std::unique_ptr<CallWorld>(const CallWorldOptions&)>;

  explicit CallScenario(WorldMaker make) : make_(std::move(make)) {}

  void AdvanceTo(common::Duration at) override;
  absl::Status Do(const scenario::Command& command) override;
  // Runs until all requests have ended. Returns an error that lists the
  // violations, if any.
  absl::Status Finish();

 private:
  using Verb = absl::Status (CallScenario::*)(const scenario::Command&);

  static const std::map<std::string, Verb>& Verbs();
  absl::Status MakeWorld(const scenario::Command& command);
  absl::Status Submit(const scenario::Command& command);
  absl::Status Kill(const scenario::Command& command);
  absl::Status Restart(const scenario::Command& command);
  absl::Status Pause(const scenario::Command& command);
  absl::Status Resume(const scenario::Command& command);
  absl::Status Drain(const scenario::Command& command);
  absl::Status LoseAnswer(const scenario::Command& command);
  absl::Status DelayMessage(const scenario::Command& command);
  absl::Status DoubleMessage(const scenario::Command& command);
  absl::Status ServiceTime(const scenario::Command& command);
  absl::Status StoreDown(const scenario::Command& command);
  absl::Status StoreUp(const scenario::Command& command);
  absl::Status StoreSlow(const scenario::Command& command);
  absl::Status Cut(const scenario::Command& command);
  absl::Status Heal(const scenario::Command& command);
  absl::Status Expect(const scenario::Command& command);
  absl::Status ExpectRuns(const scenario::Command& command);
  absl::Status ExpectAnswer(const scenario::Command& command);

  WorldMaker make_;
  std::unique_ptr<CallWorld> world_;
  std::map<std::string, size_t> submissions_;
};

}  // namespace wagtailshore::test_support

#endif  // SUPPORT_CALL_SCENARIO_H_
