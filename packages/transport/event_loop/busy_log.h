#ifndef TRANSPORT_EVENT_LOOP_BUSY_LOG_H_
#define TRANSPORT_EVENT_LOOP_BUSY_LOG_H_

#include "transport/event_loop/event_loop.h"

namespace wagtailshore::event_loop {

// Logs busy periods of the loop in which it may be late for whoever waits.
void LogBusyPeriods(EventLoop& loop);

}  // namespace wagtailshore::event_loop

#endif  // TRANSPORT_EVENT_LOOP_BUSY_LOG_H_
