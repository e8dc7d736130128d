#include "unit/coordination/map_coordinator/fake_group.h"

#include <algorithm>
#include <variant>

namespace wagtailshore::map_coordinator {
namespace {

constexpr common::Duration kStepTime = common::milliseconds(60);

}  // namespace

FakeGroup::FakeGroup(int ranks, common::Duration copy_time, bool checks_fencing)
    : ranks_(ranks), copy_time_(copy_time), checks_fencing_(checks_fencing) {}

bool FakeGroup::IsHeld(uint64_t step) const {
  return std::any_of(ranks_.begin(), ranks_.end(),
                     [step](const Rank& rank) { return rank.held == step; });
}

bool FakeGroup::Advance(common::Time now) {
  if (now < next_step_) {
    return true;
  }
  if (IsHeld(step_ + 1)) {
    if (!held_since_.has_value()) {
      held_since_ = now;
    }
    return true;
  }
  held_since_.reset();
  ++step_;
  next_step_ = now + kStepTime;
  for (Rank& rank : ranks_) {
    if (rank.armed.has_value() && rank.armed->step == step_) {
      rank.map = rank.armed->version;
      rank.armed.reset();
      rank.prepared.reset();
    }
    if (rank.held.has_value() && *rank.held <= step_) {
      rank.held.reset();
    }
  }
  return std::all_of(ranks_.begin(), ranks_.end(), [&](const Rank& rank) {
    return rank.map == ranks_.front().map;
  });
}

common::Duration FakeGroup::held_for(common::Time now) const {
  return held_since_.has_value() ? now - *held_since_
                                 : common::Duration::zero();
}

bool FakeGroup::armed() const {
  return std::any_of(ranks_.begin(), ranks_.end(),
                     [](const Rank& rank) { return rank.armed.has_value(); });
}

void FakeGroup::Reform() {
  ++epoch_;
  held_since_.reset();
  for (Rank& rank : ranks_) {
    const uint64_t generation = rank.highest_generation;
    rank = Rank{.highest_generation = generation};
  }
}

RankReport FakeGroup::Report(int rank, common::Time now) const {
  const Rank& state = ranks_[rank];
  RankReport report{.epoch = epoch_,
                    .open = true,
                    .step = step_,
                    .map_version = state.map,
                    .armed = state.armed,
                    .held_step = state.held};
  if (state.prepared.has_value() && state.ready_at <= now) {
    report.prepared = state.prepared;
  }
  return report;
}

OrderOutcome FakeGroup::Execute(const RankOrder& order, common::Time now) {
  Rank& rank = ranks_[order.rank];
  if (checks_fencing_ && order.generation < rank.highest_generation) {
    return OrderOutcome::kFenced;
  }
  rank.highest_generation = std::max(rank.highest_generation, order.generation);
  if (order.epoch != epoch_) {
    return OrderOutcome::kConflict;
  }
  return std::visit([&](const auto& body) { return Apply(rank, body, now); },
                    order.body);
}

OrderOutcome FakeGroup::Apply(Rank& rank,
                              const PrepareMap& order,
                              common::Time now) {
  if (rank.prepared == order.version) {
    return OrderOutcome::kAccepted;
  }
  if (order.version <= rank.highest_version || rank.armed.has_value()) {
    return OrderOutcome::kConflict;
  }
  rank.highest_version = order.version;
  rank.prepared = order.version;
  rank.ready_at = now + copy_time_;
  return OrderOutcome::kAccepted;
}

OrderOutcome FakeGroup::Apply(Rank& rank,
                              const ArmMap& order,
                              common::Time now) {
  const ArmedMap wanted{.version = order.version, .step = order.step};
  if (rank.armed == wanted) {
    return OrderOutcome::kAccepted;
  }
  if (rank.prepared != order.version || rank.ready_at > now ||
      order.step <= step_) {
    return OrderOutcome::kConflict;
  }
  rank.armed = wanted;
  return OrderOutcome::kAccepted;
}

OrderOutcome FakeGroup::Apply(Rank& rank,
                              const DisarmMap& order,
                              common::Time) {
  if (rank.map == order.version) {
    return OrderOutcome::kConflict;
  }
  if (rank.armed.has_value() && rank.armed->version == order.version) {
    rank.armed.reset();
  }
  return OrderOutcome::kAccepted;
}

OrderOutcome FakeGroup::Apply(Rank& rank, const HoldStep& order, common::Time) {
  if (order.step <= step_) {
    return OrderOutcome::kConflict;
  }
  rank.held = order.step;
  return OrderOutcome::kAccepted;
}

OrderOutcome FakeGroup::Apply(Rank& rank,
                              const ReleaseStep& order,
                              common::Time) {
  if (rank.held != order.step) {
    return OrderOutcome::kConflict;
  }
  rank.held.reset();
  return OrderOutcome::kAccepted;
}

}  // namespace wagtailshore::map_coordinator
