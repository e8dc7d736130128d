#ifndef E2E_PROCESS_WORLD_H_
#define E2E_PROCESS_WORLD_H_

#include <future>
#include <map>
#include <memory>
#include <string>

#include "e2e/caller.h"
#include "e2e/deployment.h"
#include "support/scenario.h"

namespace wagtailshore::e2e {

// Runs scenarios against real processes over real sockets and in real time.
// Scenarios rely on the order of events and do not assert durations. Verbs:
//
//   deploy [token=20ms] [call=0ms]           start all processes
//   generate NAME entry=E tokens=N [prompt=P]   send a streamed request; a
//                                            prompt "crash..." crashes engines
//   print NAME entry=E key=K [badge=B] [customer=two]   call the print service;
//                                            B defaults to K
//   look_up NAME entry=E key=K               look up an earlier outcome
//   kill|term|freeze|thaw PROCESS...
//   restart PROCESS [as=NAME]                NAME: new instance name
//   platform none|down|lose_answers
//   submit entry=E base=V [phase=P]          must be accepted
//   expect complete NAME                     complete, with the expected text
//   expect refused NAME code=C [ran=R]
//   expect same NAME OTHER                   both complete and equal
//   expect runs badge=B count=N              at the service
//   expect exited PROCESS code=C
//   expect version entry=E is=V
//   expect logged PROCESS event=WS-N count=N|at_least=N
//   expect starts ENGINE count=N             generations started there
class ProcessWorld final : public scenario::World {
 public:
  ProcessWorld();

  void AdvanceTo(common::Duration at) override;
  absl::Status Do(const scenario::Command& command) override;

 private:
  using Verb = absl::Status (ProcessWorld::*)(const scenario::Command&);

  absl::Status DoDeploy(const scenario::Command& command);
  absl::Status DoGenerate(const scenario::Command& command);
  absl::Status DoPrint(const scenario::Command& command);
  absl::Status DoLookUp(const scenario::Command& command);
  absl::Status DoSignal(const scenario::Command& command);
  absl::Status DoRestart(const scenario::Command& command);
  absl::Status DoPlatform(const scenario::Command& command);
  absl::Status DoSubmit(const scenario::Command& command);
  absl::Status DoExpect(const scenario::Command& command);

  absl::Status ExpectComplete(const scenario::Command& command);
  absl::Status ExpectRefused(const scenario::Command& command);
  absl::Status ExpectSame(const scenario::Command& command);
  absl::Status ExpectRuns(const scenario::Command& command);
  absl::Status ExpectExited(const scenario::Command& command);
  absl::Status ExpectVersion(const scenario::Command& command);
  absl::Status ExpectLogged(const scenario::Command& command);
  absl::Status ExpectStarts(const scenario::Command& command);

  // Waits up to 40 s for the answer to the request called `name`.
  absl::StatusOr<CallerAnswer> Answer(const std::string& name);
  PrintSpec PrintSpecOf(const scenario::Command& command) const;

  common::Time start_;
  std::unique_ptr<Deployment> deployment_;
  std::map<std::string, std::shared_future<CallerAnswer>> requests_;
  // The text that each model request must receive, by request name.
  std::map<std::string, std::string> expected_texts_;
};

}  // namespace wagtailshore::e2e

#endif  // E2E_PROCESS_WORLD_H_
