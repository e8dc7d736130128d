#include "daemon/endpoint/settler.h"

#include <iterator>
#include <utility>

#include "common/event_log.h"
#include "common/strings.h"

namespace wagtailshore::endpoint {
namespace {

constexpr common::Duration kInterval = common::seconds(1);
// Bounds the memory that a long outage may take.
constexpr size_t kMaxUnsettled = 10000;

// Whether the row now says what became of the call.
bool SettleOnce(const platform_client::PlatformClient& platform,
                claims::EndpointClaim& claim) {
  claims::EndpointAction action = claim.Settle();
  while (auto next = OnTable(platform, claim, action)) {
    action = *std::move(next);
  }
  return std::holds_alternative<claims::Settled>(action);
}

}  // namespace

std::optional<claims::EndpointAction> OnTable(
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
    if (held_ >= kMaxUnsettled) {
      common::LogEvent(common::EventId::kOutcomeNotRecorded, "reason=full");
      return;
    }
    ++held_;
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
      wake_.wait_for(lock, kInterval,
                     [this] { return stopping_ || !added_.empty(); });
      stopping = stopping_;
      std::move(added_.begin(), added_.end(), std::back_inserter(unsettled));
      added_.clear();
    }
    SettleEach(unsettled);
    const std::lock_guard lock(mutex_);
    held_ = unsettled.size() + added_.size();
  }
  if (!unsettled.empty()) {
    common::LogEvent(common::EventId::kOutcomeNotRecorded,
                     common::StrCat("reason=stopped calls=", unsettled.size()));
  }
}

void Settler::SettleEach(std::vector<claims::EndpointClaim>& claims) {
  std::vector<claims::EndpointClaim> left;
  bool table_away = false;
  for (claims::EndpointClaim& claim : claims) {
    // One silence is enough to know that the table is away.
    if (table_away || !SettleOnce(platform_, claim)) {
      table_away = true;
      left.push_back(std::move(claim));
    }
  }
  claims = std::move(left);
}

}  // namespace wagtailshore::endpoint
