// The store comes back from a copy some seconds old. Later, when it has been
// stable for the stability window, a server leaves: its entry is removed and it
// goes on serving. Counts the requests that reach it longer than the drain time
// after the store has confirmed the removal.

#include "../support/world.h"

namespace review {
namespace {

// Bounds of the deployment, and what is added for the clock of this program.
constexpr int64_t kStabilityWindowMs = 3000;
constexpr int64_t kDrainMs = 2000;
constexpr int64_t kMarginMs = 50;

int RunDeployment(Deployment& site) {
  const std::string leaving = "i-leaving";
  site.AddServer(leaving, "stampa-app", "verona-a", 15);
  site.AddServer("i-second", "stampa-app", "bologna-b", 15);
  site.AddServer("i-third", "stampa-app", "verona-a", 15);
  const json config =
      Config(10, json::array({Route("/print/", "stampa-app")}), {"stampa-app"});
  site.store.Put("op", "config", config);
  if (!site.StartGateways(2)) {
    return kCouldNotRun;
  }
  site.StartConsumers(8, "/print/x", 80);
  SleepMs(5000);

  if (WithTrouble()) {
    site.store.TakeCopy();
    SleepMs(2000);
    site.store.GoAway();
    site.record.Line("store    away");
    SleepMs(1000);
    site.store.ReturnFromCopy();
    site.record.Line("store    back from a copy 3 s old, next era");
    // What the operator wrote is written again; servers check in by themselves.
    SleepMs(300);
    site.store.Put("op", "config", config);
  }
  // The last server checks in within 1.2 s of the return.
  SleepMs(1100 + kStabilityWindowMs);
  const int64_t confirmed_at = site.Leave(leaving);
  SleepMs(7000);
  site.Stop();

  const int64_t due_at = confirmed_at + kDrainMs + kMarginMs;
  std::map<std::string, int64_t> sent_at;
  int judged = 0;
  for (const Sent& request : site.sent.All()) {
    sent_at[request.attempt] = request.sent_at_ms;
    judged += request.sent_at_ms >= due_at ? 1 : 0;
  }
  int late = 0;
  int64_t last_late = due_at;
  for (const Run& run : site.runs.All()) {
    if (run.server == leaving && sent_at[run.attempt] >= due_at) {
      ++late;
      last_late = std::max(last_late, run.at_ms);
      site.record.Line(
          "BROKEN   DRAIN: %s reached %s %lld ms after the removal",
          run.attempt.c_str(), leaving.c_str(),
          static_cast<long long>(run.at_ms - confirmed_at));
    }
  }
  std::printf(
      "sent after the drain time: %d, reached the leaving server: %d, the last "
      "one %lld ms after that time\n",
      judged, late, static_cast<long long>(last_late - due_at));
  if (judged == 0) {
    return kCouldNotRun;
  }
  return late > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, review::RunDeployment);
}
