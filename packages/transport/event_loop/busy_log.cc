#include "transport/event_loop/busy_log.h"

#include <string>

#include "common/event_log.h"
#include "common/strings.h"

namespace wagtailshore::event_loop {
namespace {

// Callers wait as long for their requests to be read.
constexpr common::Duration kMinLoggedLength = common::milliseconds(250);

void Log(const BusyPeriod& period) {
  std::string spent;
  for (const auto& [activity, time] : period.spent) {
    if (time >= common::milliseconds(1)) {
      common::StrAppend(&spent, spent.empty() ? "" : ",", activity, ":",
                        common::ToMilliseconds(time));
    }
  }
  common::LogEvent(
      common::EventId::kLoopLate,
      common::StrCat("busy_ms=", common::ToMilliseconds(period.length),
                     " spent_ms=", spent.empty() ? "none" : spent,
                     " longest_ms=", common::ToMilliseconds(period.longest),
                     " longest_in=", period.longest_activity));
}

}  // namespace

void LogBusyPeriods(EventLoop& loop) {
  loop.ObserveBusyPeriods(kMinLoggedLength, Log);
}

}  // namespace wagtailshore::event_loop
