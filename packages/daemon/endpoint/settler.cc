#include "daemon/endpoint/settler.h"

#include <iterator>
#include <utility>

#include "common/event_log.h"
#include "common/strings.h"

namespace wagtailshore::endpoint {
namespace {

constexpr common::Duration kRetryPeriod = common::seconds(1);
// Limits memory use during a long outage of the table.
constexpr size_t kMaxUnsettled = 10000;

// Tries to record the outcome; returns whether the row now contains it.
bool TrySettle(const platform_client::PlatformClient& platform,
               claims::EndpointClaim& claim) {
  claims::EndpointAction action = claim.Settle();
  while (auto next = PerformTableAction(platform, claim, action)) {
    action = *std::move(next);
  }
  return std::holds_alternative<claims::Settled>(action);
}

}  // namespace

std::optional<claims::EndpointAction> PerformTableAction(
    const platform_client::PlatformClient& platform,
    claims::EndpointClaim& claim,
    const claims::EndpointAction& action) {
  if (const auto* read = std::get_if<table::ReadRow>(&action)) {
    const table::ReadOutcome outcome = platform.Read(*read);
    return claim.OnRead(outcome, common::Clock::now());
  }
  if (const auto* write = std::get_if<table::WriteRow>(&action)) {
    const table::WriteOutcome outcome = platform.Write(*write);
    return claim.OnWrite(outcome, common::Clock::now());
  }
  return std::nullopt;
}

Settler::Settler(const platform_client::PlatformClient& platform)
    : platform_(platform), thread_([this] { Run(); }) {}

Settler::~Settler() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  thread_.join();
}

void Settler::Add(claims::EndpointClaim claim) {
  if (!claim.needs_settling()) {
    return;
  }
  {
    const std::lock_guard lock(mutex_);
    if (pending_count_ >= kMaxUnsettled) {
      common::LogEvent(common::EventId::kOutcomeNotRecorded, "reason=full");
      return;
    }
    ++pending_count_;
    added_.push_back(std::move(claim));
  }
  wake_.notify_all();
}

void Settler::Run() {
  std::vector<claims::EndpointClaim> unsettled;
  bool stopping = false;
  while (!stopping) {
    {
      std::unique_lock lock(mutex_);
      wake_.wait_for(lock, kRetryPeriod,
                     [this] { return stopping_ || !added_.empty(); });
      stopping = stopping_;
      std::move(added_.begin(), added_.end(), std::back_inserter(unsettled));
      added_.clear();
    }
    SettleAll(unsettled);
    const std::lock_guard lock(mutex_);
    pending_count_ = unsettled.size() + added_.size();
  }
  if (!unsettled.empty()) {
    common::LogEvent(common::EventId::kOutcomeNotRecorded,
                     common::StrCat("reason=stopped calls=", unsettled.size()));
  }
}

void Settler::SettleAll(std::vector<claims::EndpointClaim>& claims) {
  std::vector<claims::EndpointClaim> remaining;
  bool table_unavailable = false;
  for (claims::EndpointClaim& claim : claims) {
    // After one failure the remaining claims wait for the next round.
    if (table_unavailable || !TrySettle(platform_, claim)) {
      table_unavailable = true;
      remaining.push_back(std::move(claim));
    }
  }
  claims = std::move(remaining);
}

}  // namespace wagtailshore::endpoint
