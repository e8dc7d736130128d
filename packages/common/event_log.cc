#include "common/event_log.h"

#include <glog/logging.h>

#include <algorithm>
#include <array>

#include "common/invariant.h"

namespace wagtailshore::common {
namespace {

constexpr std::array kCatalogue = {
    EventSpec{EventId::kProcessStarted, Severity::kInfo, "process started",
              "The daemon read its settings and opened its addresses.",
              "None."},
    EventSpec{EventId::kProcessDraining, Severity::kInfo, "process draining",
              "A stop signal was received; new work is refused, work in flight "
              "continues to its end.",
              "Wait for WS-1003."},
    EventSpec{EventId::kProcessStopped, Severity::kInfo, "process stopped",
              "Everything in flight has ended.", "None."},
    EventSpec{
        EventId::kSettingsRefused, Severity::kError, "settings refused",
        "A flag or environment variable is missing or out of range.",
        "Correct every setting that the line names; see docs/SETTINGS.md."},
    EventSpec{
        EventId::kReloadSignal, Severity::kInfo, "reload signal",
        "SIGHUP was received. A hosted process reads its settings only at "
        "start and keeps using them.",
        "Restart the process to apply new settings."},
    EventSpec{EventId::kLoopLate, Severity::kWarning, "event loop late",
              "The process has had work without a pause for busy_ms, so that "
              "requests, closes and timers are handled up to that much late.",
              "See spent_ms for what took the time; if frequent, the instance "
              "has too little processor time for its load."},
    EventSpec{
        EventId::kClientsRefused, Severity::kWarning, "clients refused",
        "In the last second, the memory or the connections for clients were "
        "exhausted: refused requests did not run, evicted clients lost what "
        "they held to others, and closed ones their connections to new ones.",
        "If it persists, look for clients that do not finish their requests; "
        "else add instances."},
    EventSpec{EventId::kCannotAccept, Severity::kError, "cannot accept",
              "A connection could not be accepted, as the process has no "
              "descriptor or memory left; it tries again after a pause.",
              "Raise the limit on descriptors of the process."},
    EventSpec{EventId::kMemoryTooSmall, Severity::kError, "memory too small",
              "A request of the largest size does not fit the memory that is "
              "left for clients, so it is refused.",
              "Raise the memory of the machine, or lower the largest size of a "
              "body."},
    EventSpec{EventId::kManifestInForce, Severity::kInfo, "manifest in force",
              "A higher manifest version was received and is now used.",
              "None."},
    EventSpec{EventId::kManifestRefused, Severity::kWarning, "manifest refused",
              "A submitted manifest has findings, or the platform's newest "
              "configuration is missing or cannot be read. A gateway then "
              "refuses requests once the version in force has not been "
              "confirmed for the bound on revocations.",
              "Correct the places named and submit again."},
    EventSpec{EventId::kManifestConflict, Severity::kWarning,
              "manifest conflict",
              "Another manifest was accepted since the base version was read.",
              "Compare with the version in force and submit again."},
    EventSpec{EventId::kManifestFieldsMalformed, Severity::kWarning,
              "manifest fields malformed",
              "Fields of the configuration in force have another type than "
              "documented. Each has its default, which admits nobody: a list "
              "of customers or keys that cannot be read is empty, and requests "
              "of a route whose kind or service cannot be read are refused.",
              "Correct the places named."},
    EventSpec{EventId::kEndpointListed, Severity::kInfo, "endpoint listed",
              "The platform's list contains a new or restarted endpoint.",
              "None."},
    EventSpec{
        EventId::kEndpointLeaving, Severity::kInfo, "endpoint leaving",
        "The endpoint announced that it is stopping; it gets no new work.",
        "None."},
    EventSpec{
        EventId::kSlowEndpoints, Severity::kWarning, "slow endpoints",
        "The set of endpoints that slow down their group's steps has changed; "
        "the endpoints in it get no new work.",
        "Check the named engines if they stay slow."},
    EventSpec{EventId::kPeerUnreachable, Severity::kWarning, "peer unreachable",
              "A process did not answer an exchange in time.",
              "If it persists, check the instance and the network."},
    EventSpec{EventId::kEndpointLost, Severity::kWarning, "endpoint lost",
              "An endpoint process ended without announcing it, with "
              "unanswered attempts: it refuses connections, or the list shows "
              "that it is gone.",
              "Look for WS-1311 with the same endpoint: a content may have "
              "crashed it."},
    EventSpec{EventId::kEndpointProbed, Severity::kInfo, "endpoint probed",
              "An endpoint left attempts without an answer and accepts "
              "connections; the list decides whether its process ended.",
              "None."},
    EventSpec{EventId::kEndpointLimit, Severity::kInfo,
              "endpoint limit changed",
              "An answer named another limit than before, in requests a second "
              "over all gateways, or none any more.",
              "If frequent, check the endpoint's load."},
    EventSpec{EventId::kEndpointRests, Severity::kInfo, "endpoint rests",
              "An endpoint refused a request and wants no other one from this "
              "process for rest_ms.",
              "If frequent, check the endpoint's load."},
    EventSpec{EventId::kEndpointsKept, Severity::kInfo, "endpoints kept",
              "The platform's list lacks these endpoints. Their entries may "
              "have lapsed or been lost with an outage, so they stay in use "
              "for left_ms at most.",
              "None."},
    EventSpec{EventId::kBadResponse, Severity::kWarning, "bad response",
              "A server sent bytes that are no response, or more than a limit "
              "allows; the connection to it was closed.",
              "If frequent, check the named server."},
    EventSpec{
        EventId::kAttemptFailed, Severity::kWarning, "attempt failed",
        "An endpoint refused an attempt, its connection broke, or it sent "
        "nothing in time.",
        "None; the request is retried on another endpoint while the retry "
        "budget lasts."},
    EventSpec{EventId::kRequestRefused, Severity::kInfo, "request refused",
              "A caller's request ended without an answer; see its reason.",
              "If frequent, check capacity and the customer's limit."},
    EventSpec{
        EventId::kStreamResumed, Severity::kInfo, "stream resumed",
        "An interrupted stream continues at its offset on a new connection.",
        "None."},
    EventSpec{EventId::kContentQuarantined, Severity::kError,
              "content quarantined",
              "Endpoints crashed while they ran this content, or requests with "
              "this part in their prompts, and no answer has cleared it.",
              "Find its requests by content= or parts= in WS-1320; they are "
              "refused until the quarantine expires."},
    EventSpec{EventId::kContentSuspected, Severity::kWarning,
              "content suspected",
              "An endpoint crashed while it ran this content, or a request "
              "with this part in its prompt, for this process.",
              "None; most suspects are innocent and are cleared by their next "
              "answer."},
    EventSpec{EventId::kContentCleared, Severity::kInfo, "content cleared",
              "An endpoint answered a request with a suspect content or part.",
              "None."},
    EventSpec{EventId::kCrashWithdrawn, Severity::kInfo, "crash withdrawn",
              "An endpoint that counted as crashed is still listed with the "
              "same start time: it was cut off and has not ended.",
              "If frequent, check the network to the endpoint."},
    EventSpec{EventId::kRequestEnded, Severity::kInfo, "request ended",
              "A gateway answered or abandoned a request; see its fields.",
              "Follow docs/OPERATIONS.md from the request's id."},
    EventSpec{EventId::kOutcomeUnknown, Severity::kError, "outcome unknown",
              "A non-idempotent call started and its answer was lost.",
              "Look up the outcome at the service before repeating the call."},
    EventSpec{EventId::kOutcomeNotRecorded, Severity::kError,
              "outcome not recorded",
              "The table was unavailable until the process stopped or too many "
              "outcomes were waiting to be recorded; look-ups with these "
              "calls' keys now return unknown.",
              "Check the platform; look up these calls at the service."},
    EventSpec{
        EventId::kPlatformUnavailable, Severity::kWarning,
        "platform unavailable",
        "The table, object store or instance list does not respond.",
        "Check the platform; see the outage table in docs/OPERATIONS.md."},
    EventSpec{EventId::kPlatformBack, Severity::kInfo, "platform back",
              "The platform responds again.", "None."},
    EventSpec{
        EventId::kEntriesUnreadable, Severity::kWarning,
        "endpoint entries unreadable",
        "The number of entries in the platform's list that do not describe "
        "an endpoint changed; they are skipped.",
        "Check the named entry, unless another program wrote it."},
    EventSpec{EventId::kCrashTableUnavailable, Severity::kWarning,
              "crash reports unavailable",
              "The table by which gateways share crashes does not respond; "
              "each goes by its own observations.",
              "Check the platform; until WS-1505 a content can crash two "
              "endpoints for each gateway."},
    EventSpec{
        EventId::kCrashTableBack, Severity::kInfo, "crash reports available",
        "The table by which gateways share crashes responds again.", "None."},
    EventSpec{EventId::kCrashReportsDropped, Severity::kWarning,
              "crash report dropped",
              "Too many crash reports are waiting to be written to the table; "
              "the other gateways do not get this one.",
              "Check the platform and why so many endpoints crash."},
    EventSpec{EventId::kStoreRestored, Severity::kWarning,
              "store back from an older copy",
              "The platform's store lost its latest writes. Everything is read "
              "again, and each process writes its own rows again.",
              "Check the platform; changes by hand in the last seconds may be "
              "lost."},
    EventSpec{EventId::kConnectionSilent, Severity::kWarning,
              "connection silent",
              "A call on a connection that had answered before got no byte of "
              "an answer in time. Unless WS-1501 follows, only connections "
              "were lost, and a new one is answered.",
              "If frequent, check the network to the address."},
    EventSpec{EventId::kPollLost, Severity::kWarning, "long poll lost",
              "A table has changes since revision that its long poll, pending "
              "for waited_ms, did not deliver: its request or answer was lost. "
              "The changes are in force now, and the next poll follows.",
              "If frequent, check the platform and the network to it."},
    EventSpec{
        EventId::kCoordinatorTaken, Severity::kInfo, "coordinator taken over",
        "This companion now coordinates its group's expert maps.", "None."},
    EventSpec{EventId::kCoordinatorNotTaken, Severity::kInfo,
              "coordinator not taken over",
              "An attempt to become the group's coordinator failed; see its "
              "reason.",
              "None; the companion tries again."},
    EventSpec{EventId::kCoordinatorSuperseded, Severity::kInfo,
              "coordinator superseded",
              "Another companion has a higher fencing token.", "None."},
    EventSpec{EventId::kMapPlanned, Severity::kInfo, "expert map planned",
              "An expert map that fits the current demand better is being "
              "prepared.",
              "None."},
    EventSpec{EventId::kMapSwitchPhase, Severity::kInfo,
              "expert map switch phase",
              "The switch of a group's expert map entered its next phase.",
              "If a group stays in holding, arming or releasing, its ranks do "
              "not respond to requests: check them."},
    EventSpec{
        EventId::kDemandShifted, Severity::kInfo, "expert demand shifted",
        "The experts that requests use have changed; a new map is planned "
        "from the next measurement on.",
        "None."},
};

int ToLogLevel(Severity severity) {
  switch (severity) {
    case Severity::kInfo:
      return google::GLOG_INFO;
    case Severity::kWarning:
      return google::GLOG_WARNING;
    case Severity::kError:
      return google::GLOG_ERROR;
  }
  return google::GLOG_ERROR;
}

}  // namespace

std::span<const EventSpec> EventCatalogue() {
  return kCatalogue;
}

const EventSpec& SpecOf(EventId id) {
  const auto* found =
      std::find_if(kCatalogue.begin(), kCatalogue.end(),
                   [id](const EventSpec& spec) { return spec.id == id; });
  WS_INVARIANT(found != kCatalogue.end()) << "every event is in the catalogue";
  return *found;
}

void LogEvent(EventId id, std::string_view fields) {
  const EventSpec& spec = SpecOf(id);
  google::LogMessage(__FILE__, __LINE__, ToLogLevel(spec.severity)).stream()
      << "WS-" << static_cast<int>(id) << ' ' << spec.title << ' ' << fields;
}

}  // namespace wagtailshore::common
