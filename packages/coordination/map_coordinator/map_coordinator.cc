#include "coordination/map_coordinator/map_coordinator.h"

#include <algorithm>
#include <utility>

#include "common/invariant.h"

namespace wagtailshore::map_coordinator {
namespace {

// Size of each generation's range of map versions. A rank accepts only versions
// that are higher than every one it has received.
constexpr uint64_t kVersionsPerGeneration = 1'000'000;
// How long to wait, after the release, for a report that the step has begun. An
// idle group begins no step.
constexpr common::Duration kReleaseSettleTime = common::milliseconds(1500);

}  // namespace

MapCoordinator::MapCoordinator(const MapCoordinatorOptions& options)
    : options_(options),
      ranks_(options.ranks),
      next_version_(options.generation * kVersionsPerGeneration + 1) {}

void MapCoordinator::OnReport(int rank,
                              const RankReport& report,
                              common::Time requested_at) {
  if (rank < 0 || rank >= options_.ranks || report.epoch < epoch_) {
    return;
  }
  if (report.epoch > epoch_) {
    Reset();
    epoch_ = report.epoch;
  }
  ranks_[rank].report = report;
  ranks_[rank].report_requested_at = requested_at;
}

void MapCoordinator::Reset() {
  for (Rank& rank : ranks_) {
    rank = Rank{};
  }
  rank_by_order_.clear();
  phase_ = Phase::kIdle;
}

void MapCoordinator::EnterPhase(Phase phase, common::Time now) {
  phase_ = phase;
  phase_began_ = now;
  for (Rank& rank : ranks_) {
    rank.confirmed = false;
    rank.accepted_at = common::Time{};
    // A late outcome belongs to the previous phase.
    rank.in_flight.reset();
  }
  rank_by_order_.clear();
}

bool MapCoordinator::AllReportsFresh(common::Time now) const {
  return std::all_of(ranks_.begin(), ranks_.end(), [&](const Rank& rank) {
    return rank.report.has_value() &&
           now - rank.report_requested_at < options_.report_expiry;
  });
}

bool MapCoordinator::AllReportedThisPhase(common::Time now) const {
  return AllReportsFresh(now) &&
         std::all_of(ranks_.begin(), ranks_.end(), [&](const Rank& rank) {
           return rank.report_requested_at >= phase_began_;
         });
}

uint64_t MapCoordinator::map_version() const {
  return ranks_.front().report.has_value() ? ranks_.front().report->map_version
                                           : 0;
}

bool MapCoordinator::CanSwitch(common::Time now) const {
  if (fenced_ || phase_ != Phase::kIdle || !AllReportedThisPhase(now)) {
    return false;
  }
  return std::all_of(ranks_.begin(), ranks_.end(), [&](const Rank& rank) {
    return rank.report->open && rank.report->map_version == map_version() &&
           !rank.report->armed.has_value() &&
           !rank.report->held_step.has_value();
  });
}

void MapCoordinator::Switch(std::shared_ptr<const GroupMap> map,
                            common::Time now) {
  WS_INVARIANT(CanSwitch(now)) << "Switch() called while CanSwitch() is false";
  map_ = std::move(map);
  version_ = next_version_++;
  EnterPhase(Phase::kPreparing, now);
}

uint64_t MapCoordinator::HighestStep() const {
  uint64_t highest = 0;
  for (const Rank& rank : ranks_) {
    if (rank.report.has_value()) {
      highest = std::max(highest, rank.report->step);
    }
  }
  return highest;
}

bool MapCoordinator::AllConfirmed() const {
  return std::all_of(ranks_.begin(), ranks_.end(),
                     [](const Rank& rank) { return rank.confirmed; });
}

void MapCoordinator::AddOrder(int rank,
                              OrderBody body,
                              std::vector<RankOrder>& orders) {
  const uint64_t id = next_order_++;
  ranks_[rank].in_flight = id;
  rank_by_order_[id] = rank;
  orders.push_back({.id = id,
                    .rank = rank,
                    .epoch = epoch_,
                    .generation = options_.generation,
                    .body = std::move(body)});
}

std::vector<RankOrder> MapCoordinator::Tick(common::Time now) {
  std::vector<RankOrder> orders;
  if (fenced_) {
    return orders;
  }
  if (phase_ == Phase::kIdle) {
    Recover(now);
  }
  switch (phase_) {
    case Phase::kIdle:
      break;
    case Phase::kPreparing:
      TickPreparing(now, orders);
      break;
    case Phase::kHolding:
      TickHolding(now, orders);
      break;
    case Phase::kArming:
      TickArming(now, orders);
      break;
    case Phase::kDisarming:
      TickDisarming(now, orders);
      break;
    case Phase::kReleasing:
      TickReleasing(now, orders);
      break;
  }
  return orders;
}

void MapCoordinator::Recover(common::Time now) {
  // A report requested before the last release may still show the hold.
  if (!AllReportedThisPhase(now)) {
    return;
  }
  const auto holder = std::find_if(
      ranks_.begin(), ranks_.end(),
      [](const Rank& rank) { return rank.report->held_step.has_value(); });
  if (holder == ranks_.end()) {
    return;
  }
  switch_step_ = *holder->report->held_step;
  const auto armed = std::find_if(
      ranks_.begin(), ranks_.end(),
      [](const Rank& rank) { return rank.report->armed.has_value(); });
  if (armed != ranks_.end()) {
    version_ = armed->report->armed->version;
    switch_step_ = armed->report->armed->step;
    adopted_ = true;
    EnterPhase(Phase::kHolding, now);
    return;
  }
  // An order to arm may still be in flight to a rank, but only if all ranks had
  // prepared the map. In that case the switch is completed.
  const auto prepared = ranks_.front().report->prepared;
  const bool all_prepared =
      prepared.has_value() && *prepared != map_version() &&
      std::all_of(ranks_.begin(), ranks_.end(), [&](const Rank& rank) {
        return rank.report->prepared == prepared;
      });
  if (all_prepared) {
    version_ = *prepared;
    adopted_ = true;
    EnterPhase(Phase::kHolding, now);
    return;
  }
  EnterPhase(Phase::kReleasing, now);
}

void MapCoordinator::TickPreparing(common::Time now,
                                   std::vector<RankOrder>& orders) {
  if (now - phase_began_ > options_.prepare_timeout) {
    // Nothing is armed or held yet, and the copied experts are harmless.
    EnterPhase(Phase::kIdle, now);
    return;
  }
  bool all = true;
  for (int rank = 0; rank < options_.ranks; ++rank) {
    Rank& state = ranks_[rank];
    if (state.report.has_value() && state.report->prepared == version_) {
      continue;
    }
    all = false;
    const bool waits = state.confirmed && now - state.accepted_at <
                                              options_.prepare_retry_interval;
    if (!state.in_flight.has_value() && !waits) {
      AddOrder(rank, PrepareMap{.version = version_, .map = map_}, orders);
    }
  }
  if (all && AllReportsFresh(now)) {
    switch_step_ = HighestStep() + options_.lead_steps;
    adopted_ = false;
    EnterPhase(Phase::kHolding, now);
    TickHolding(now, orders);
  }
}

void MapCoordinator::TickHolding(common::Time now,
                                 std::vector<RankOrder>& orders) {
  // A report of the hold is no confirmation: it may show another coordinator's,
  // which that one may still release.
  const Rank& holder = ranks_[options_.hold_rank];
  if (holder.confirmed) {
    EnterPhase(Phase::kArming, now);
    TickArming(now, orders);
    return;
  }
  if (!holder.in_flight.has_value()) {
    AddOrder(options_.hold_rank, HoldStep{.step = switch_step_}, orders);
  }
}

void MapCoordinator::TickArming(common::Time now,
                                std::vector<RankOrder>& orders) {
  for (int rank = 0; rank < options_.ranks; ++rank) {
    const Rank& state = ranks_[rank];
    if (!state.confirmed && !state.in_flight.has_value()) {
      AddOrder(rank, ArmMap{.version = version_, .step = switch_step_}, orders);
    }
  }
  if (AllConfirmed()) {
    ++switches_;
    EnterPhase(Phase::kReleasing, now);
    TickReleasing(now, orders);
  }
}

void MapCoordinator::TickDisarming(common::Time now,
                                   std::vector<RankOrder>& orders) {
  for (int rank = 0; rank < options_.ranks; ++rank) {
    Rank& state = ranks_[rank];
    if (!state.confirmed && !state.in_flight.has_value()) {
      AddOrder(rank, DisarmMap{.version = version_}, orders);
    }
  }
  if (AllConfirmed()) {
    EnterPhase(Phase::kReleasing, now);
    TickReleasing(now, orders);
  }
}

void MapCoordinator::TickReleasing(common::Time now,
                                   std::vector<RankOrder>& orders) {
  bool held = false;
  for (int rank = 0; rank < options_.ranks; ++rank) {
    Rank& state = ranks_[rank];
    // A delayed order may have held the group again after the release. A hold
    // before a later step is another coordinator's, whose ranks may be armed.
    const bool reported_held = state.report.has_value() &&
                               state.report_requested_at > state.accepted_at &&
                               state.report->held_step.has_value() &&
                               *state.report->held_step <= switch_step_;
    const bool must_release =
        reported_held || (rank == options_.hold_rank && !state.confirmed);
    if (!must_release) {
      continue;
    }
    held = true;
    if (!state.in_flight.has_value()) {
      const uint64_t step =
          reported_held ? *state.report->held_step : switch_step_;
      AddOrder(rank, ReleaseStep{.step = step}, orders);
    }
  }
  const bool begun = HighestStep() >= switch_step_;
  if (!held && (begun || now - phase_began_ > kReleaseSettleTime)) {
    EnterPhase(Phase::kIdle, now);
  }
}

void MapCoordinator::OnOutcome(uint64_t order_id,
                               OrderOutcome outcome,
                               common::Time now) {
  const auto found = rank_by_order_.find(order_id);
  if (found == rank_by_order_.end()) {
    return;
  }
  Rank& rank = ranks_[found->second];
  rank_by_order_.erase(found);
  rank.in_flight.reset();
  switch (outcome) {
    case OrderOutcome::kAccepted:
      rank.confirmed = true;
      rank.accepted_at = now;
      return;
    case OrderOutcome::kFenced:
      fenced_ = true;
      return;
    case OrderOutcome::kRefused:
    case OrderOutcome::kUnknown:
      return;
    case OrderOutcome::kConflict:
      break;
  }
  switch (phase_) {
    case Phase::kIdle:
      return;
    case Phase::kPreparing:
      EnterPhase(Phase::kIdle, now);
      return;
    case Phase::kHolding:
      // The step has begun, even if no report shows it yet.
      if (adopted_) {
        EnterPhase(Phase::kIdle, now);
        return;
      }
      switch_step_ =
          std::max(switch_step_ + 1, HighestStep() + options_.lead_steps);
      return;
    case Phase::kArming:
      EnterPhase(Phase::kDisarming, now);
      return;
    case Phase::kDisarming:
      // The map is not armed there, or is already in use.
      rank.confirmed = true;
      return;
    case Phase::kReleasing:
      // The rank holds nothing.
      rank.confirmed = true;
      rank.accepted_at = now;
      return;
  }
}

}  // namespace wagtailshore::map_coordinator
