#ifndef COMMON_EVENT_LOG_H_
#define COMMON_EVENT_LOG_H_

#include <span>
#include <string>
#include <string_view>

// Numbered log events. Operators look a number up in docs/EVENTS.md or with
// `wagtailshore events NUMBER`; both come from the catalogue in event_log.cc.
namespace wagtailshore::common {

enum class EventId {
  kProcessStarted = 1001,
  kProcessDraining = 1002,
  kProcessStopped = 1003,
  kSettingsRefused = 1004,
  kReloadSignal = 1005,
  kLoopLate = 1006,
  kClientsRefused = 1007,
  kCannotAccept = 1008,
  kMemoryTooSmall = 1009,
  kManifestInForce = 1101,
  kManifestRefused = 1102,
  kManifestConflict = 1103,
  kManifestFieldsMalformed = 1104,
  kEndpointListed = 1202,
  kEndpointLeaving = 1203,
  kSlowEndpoints = 1204,
  kPeerUnreachable = 1204,
  kEndpointLost = 1205,
  kEndpointProbed = 1206,
  kEndpointLimit = 1207,
  kEndpointRests = 1208,
  kEndpointsKept = 1209,
  kBadResponse = 1210,
  kAttemptFailed = 1301,
  kRequestRefused = 1302,
  kStreamResumed = 1303,
  kContentQuarantined = 1310,
  kContentSuspected = 1311,
  kContentCleared = 1312,
  kCrashWithdrawn = 1313,
  kRequestEnded = 1320,
  kOutcomeUnknown = 1401,
  kOutcomeNotRecorded = 1402,
  kPlatformUnavailable = 1501,
  kPlatformBack = 1502,
  kEntriesUnreadable = 1503,
  kCrashTableUnavailable = 1504,
  kCrashTableBack = 1505,
  kCrashReportsDropped = 1506,
  kStoreRestored = 1507,
  kConnectionSilent = 1508,
  kPollLost = 1509,
  kCoordinatorTaken = 1601,
  kCoordinatorNotTaken = 1602,
  kCoordinatorSuperseded = 1603,
  kMapPlanned = 1604,
  kMapSwitchPhase = 1605,
  kDemandShifted = 1606,
};

enum class Severity { kInfo, kWarning, kError };

struct EventSpec {
  EventId id;
  Severity severity;
  std::string_view title;
  // What happened.
  std::string_view cause;
  // What the operator should do.
  std::string_view action;
};

// Every event, ordered by number.
std::span<const EventSpec> EventCatalogue();

// Returns the event's entry in the catalogue.
const EventSpec& SpecOf(EventId id);

// Writes "WS-<number> <title> <fields>" to the log. `fields` consists of
// "name=value" pairs separated by spaces and must not contain secrets.
void LogEvent(EventId id, std::string_view fields);

}  // namespace wagtailshore::common

#endif  // COMMON_EVENT_LOG_H_
