#include "coordination/map_coordinator/map_coordinator.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <utility>

#include "unit/coordination/map_coordinator/fake_group.h"

namespace wagtailshore::map_coordinator {
namespace {

constexpr common::Duration kTick = common::milliseconds(5);
constexpr common::Duration kDelay = common::milliseconds(4);

struct FaultMix {
  const char* name;
  // Share of orders that get no answer and are carried out seconds later.
  double late_orders = 0;
  // Share of orders whose answer is lost.
  double unanswered_orders = 0;
  // Share of reports that are lost.
  double lost_reports = 0;
  // How often the coordinator is killed and the group re-forms, per minute.
  double kills_per_min = 0;
  double reforms_per_min = 0;
  // Whether a killed coordinator keeps running beside its successor.
  bool overlapping = false;
  // Whether ranks refuse the orders of earlier coordinators. If not, only the
  // companions do, as long as they remember the later one; a late order passes.
  bool fenced = true;
  // How often a companion restarts and forgets the later coordinator.
  double companion_restarts_per_min = 0;
  int ranks = 6;
  uint64_t seed = 1;
};

// Runs coordinators against a fake group on a virtual clock, with faults.
class Simulation {
 public:
  explicit Simulation(const FaultMix& faults)
      : faults_(faults),
        random_(faults.seed),
        group_(faults.ranks, common::milliseconds(300), faults.fenced) {
    NewCoordinator();
  }

  void Run(common::Duration length) {
    const common::Time end = now_ + length;
    while (now_ < end) {
      now_ += kTick;
      while (!events_.empty() && events_.top().at <= now_) {
        const auto run = events_.top().run;
        events_.pop();
        run();
      }
      ASSERT_TRUE(group_.Advance(now_))
          << "step " << group_.step() << " begins with two maps";
      maps_used_.insert(group_.map_version());
      longest_hold_ = std::max(longest_hold_, group_.held_for(now_));
      InjectFaults();
      RunCoordinators();
    }
  }

  FakeGroup& group() { return group_; }
  common::Duration longest_hold() const { return longest_hold_; }
  uint64_t switches() const { return switches_; }
  // Number of map versions that steps have begun with.
  size_t maps_used() const { return maps_used_.size(); }

 private:
  struct Event {
    common::Time at;
    uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };
  struct RunningCoordinator {
    std::shared_ptr<MapCoordinator> coordinator;
    // A killed coordinator runs on until then, like a process that was frozen
    // and resumes.
    common::Time runs_until = common::Time::max();
  };

  bool WithProbability(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }
  void RunAfter(common::Duration delay, std::function<void()> run) {
    events_.push(
        {.at = now_ + delay, .order = ++last_event_, .run = std::move(run)});
  }

  void NewCoordinator() {
    coordinators_.push_back(
        {std::make_shared<MapCoordinator>(MapCoordinatorOptions{
            .ranks = faults_.ranks,
            .generation = ++generation_,
            .hold_rank = static_cast<int>(generation_) % faults_.ranks})});
  }

  void InjectFaults() {
    const double ticks_per_minute = 60.0 * 1000 / 5;
    if (WithProbability(faults_.kills_per_min / ticks_per_minute) &&
        !coordinators_.empty()) {
      if (faults_.overlapping) {
        coordinators_.back().runs_until = now_ + common::seconds(3);
      } else {
        coordinators_.clear();
      }
      // Time for the others to detect the failure before one takes over.
      RunAfter(common::milliseconds(1300), [this] { NewCoordinator(); });
    }
    if (WithProbability(faults_.companion_restarts_per_min /
                        ticks_per_minute)) {
      companion_generations_.erase(
          std::uniform_int_distribution<int>(0, faults_.ranks - 1)(random_));
    }
    if (WithProbability(faults_.reforms_per_min / ticks_per_minute)) {
      group_.Reform();
    }
  }

  void RunCoordinators() {
    std::erase_if(coordinators_, [this](const RunningCoordinator& running) {
      return now_ >= running.runs_until;
    });
    for (const RunningCoordinator& running : coordinators_) {
      if (now_ >= next_report_) {
        for (int rank = 0; rank < faults_.ranks; ++rank) {
          SendReport(running.coordinator, rank);
        }
      }
      if (running.coordinator->CanSwitch(now_) && now_ >= next_switch_) {
        next_switch_ = now_ + common::milliseconds(400);
        running.coordinator->Switch(std::make_shared<const GroupMap>(), now_);
      }
      for (const RankOrder& order : running.coordinator->Tick(now_)) {
        SendOrder(running.coordinator, order);
      }
    }
    if (now_ >= next_report_) {
      next_report_ = now_ + common::milliseconds(50);
    }
    if (!coordinators_.empty()) {
      switches_ =
          std::max(switches_, coordinators_.back().coordinator->switches());
    }
  }

  // Whether the rank's companion accepts a message of this coordinator.
  bool CompanionAccepts(int rank, uint64_t generation) {
    uint64_t& highest = companion_generations_[rank];
    if (!faults_.fenced && generation < highest) {
      return false;
    }
    highest = std::max(highest, generation);
    return true;
  }

  void SendReport(const std::shared_ptr<MapCoordinator>& to, int rank) {
    if (WithProbability(faults_.lost_reports)) {
      return;
    }
    RunAfter(kDelay, [this, to, rank, requested_at = now_] {
      if (!CompanionAccepts(rank, to->generation())) {
        RunAfter(kDelay, [to] { to->OnSuperseded(); });
        return;
      }
      const RankReport report = group_.Report(rank, now_);
      RunAfter(kDelay, [to, rank, report, requested_at] {
        to->OnReport(rank, report, requested_at);
      });
    });
  }

  void SendOrder(const std::shared_ptr<MapCoordinator>& from,
                 const RankOrder& order) {
    if (WithProbability(faults_.late_orders)) {
      const int delay_ms =
          std::uniform_int_distribution<int>(2000, 12000)(random_);
      RunAfter(common::milliseconds(delay_ms),
               [this, order] { group_.Execute(order, now_); });
      RunAfter(common::milliseconds(150), [this, from, id = order.id] {
        from->OnOutcome(id, OrderOutcome::kUnknown, now_);
      });
      return;
    }
    const bool unanswered = WithProbability(faults_.unanswered_orders);
    RunAfter(kDelay, [this, from, order, unanswered] {
      const OrderOutcome outcome =
          CompanionAccepts(order.rank, order.generation)
              ? group_.Execute(order, now_)
              : OrderOutcome::kFenced;
      RunAfter(unanswered ? common::milliseconds(150) : kDelay,
               [this, from, id = order.id, outcome, unanswered] {
                 from->OnOutcome(
                     id, unanswered ? OrderOutcome::kUnknown : outcome, now_);
               });
    });
  }

  FaultMix faults_;
  std::mt19937_64 random_;
  common::Time now_{common::seconds(100)};
  FakeGroup group_;
  // Highest generation that each rank's companion has seen.
  std::map<int, uint64_t> companion_generations_;
  std::vector<RunningCoordinator> coordinators_;
  std::priority_queue<Event> events_;
  uint64_t last_event_ = 0;
  uint64_t generation_ = 0;
  common::Time next_report_{};
  common::Time next_switch_{};
  common::Duration longest_hold_{};
  uint64_t switches_ = 0;
  std::set<uint64_t> maps_used_;
};

class MapCoordinatorRunTest : public testing::TestWithParam<FaultMix> {};

// Two minutes with each seed. A group is never held for longer than a takeover
// and a few repeated orders take.
TEST_P(MapCoordinatorRunTest, NoStepHasTwoMapsAndNoHoldStays) {
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    FaultMix faults = GetParam();
    faults.seed = seed;
    Simulation simulation(faults);
    simulation.Run(common::seconds(120));
    if (HasFatalFailure()) {
      FAIL() << "seed " << seed;
    }
    EXPECT_LT(simulation.longest_hold(), common::seconds(5)) << "seed " << seed;
    EXPECT_GT(simulation.group().step(), 500U) << "seed " << seed;
    EXPECT_GT(simulation.maps_used(), 1U) << "seed " << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Faults,
    MapCoordinatorRunTest,
    testing::Values(
        FaultMix{.name = "Calm"},
        FaultMix{.name = "LateOrders", .late_orders = 0.35},
        FaultMix{.name = "LostAnswers", .unanswered_orders = 0.35},
        FaultMix{.name = "LostReports", .lost_reports = 0.5},
        FaultMix{.name = "Kills", .late_orders = 0.1, .kills_per_min = 10},
        FaultMix{.name = "Reforms", .late_orders = 0.1, .reforms_per_min = 6},
        FaultMix{.name = "Overlapping",
                 .late_orders = 0.1,
                 .unanswered_orders = 0.1,
                 .kills_per_min = 10,
                 .overlapping = true},
        FaultMix{.name = "Everything",
                 .late_orders = 0.2,
                 .unanswered_orders = 0.1,
                 .lost_reports = 0.2,
                 .kills_per_min = 8,
                 .reforms_per_min = 3,
                 .overlapping = true},
        FaultMix{.name = "UnfencedOverlapping",
                 .late_orders = 0.1,
                 .unanswered_orders = 0.1,
                 .kills_per_min = 10,
                 .overlapping = true,
                 .fenced = false},
        FaultMix{.name = "UnfencedEverything",
                 .late_orders = 0.2,
                 .unanswered_orders = 0.1,
                 .lost_reports = 0.2,
                 .kills_per_min = 8,
                 .reforms_per_min = 3,
                 .overlapping = true,
                 .fenced = false,
                 .companion_restarts_per_min = 10},
        FaultMix{.name = "UnfencedDozen",
                 .late_orders = 0.05,
                 .unanswered_orders = 0.05,
                 .kills_per_min = 8,
                 .overlapping = true,
                 .fenced = false,
                 .ranks = 12},
        FaultMix{.name = "UnfencedLargeGroup",
                 .late_orders = 0.01,
                 .unanswered_orders = 0.02,
                 .kills_per_min = 8,
                 .overlapping = true,
                 .fenced = false,
                 .ranks = 63}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(MapCoordinatorTest, CalmGroupIsNeverHeldAtItsStep) {
  Simulation simulation({.name = "calm"});
  simulation.Run(common::seconds(30));
  EXPECT_EQ(simulation.longest_hold(), common::Duration::zero());
  EXPECT_GT(simulation.switches(), 20U);
}

// The next coordinator releases the hold of one that died.
TEST(MapCoordinatorTest, HoldLeftBehindIsReleased) {
  FakeGroup group(1, common::milliseconds(1));
  common::Time now{common::seconds(1)};
  group.Execute({.rank = 0, .epoch = 1, .generation = 1, .body = HoldStep{1}},
                now);
  ASSERT_TRUE(group.Advance(now));
  ASSERT_EQ(group.step(), 0U);
  MapCoordinator next({.ranks = 1, .generation = 2});
  next.OnReport(0, group.Report(0, now), now);
  for (const RankOrder& order : next.Tick(now)) {
    next.OnOutcome(order.id, group.Execute(order, now), now);
  }
  ASSERT_TRUE(group.Advance(now));
  EXPECT_EQ(group.step(), 1U);
}

// A report that was in flight while the group was released still shows the
// hold. It must not be mistaken for a hold left behind by another coordinator.
TEST(MapCoordinatorTest, ReportFromBeforeTheReleaseStartsNothing) {
  FakeGroup group(1, common::milliseconds(1));
  MapCoordinator coordinator({.ranks = 1, .generation = 1});
  common::Time now{common::seconds(1)};
  ASSERT_TRUE(group.Advance(now));
  coordinator.OnReport(0, group.Report(0, now), now);
  coordinator.Switch(std::make_shared<const GroupMap>(), now);
  std::optional<RankReport> held;
  common::Time held_requested_at{};
  for (int i = 0; i < 100 && coordinator.switches() == 0; ++i) {
    now += kTick;
    for (const RankOrder& order : coordinator.Tick(now)) {
      coordinator.OnOutcome(order.id, group.Execute(order, now), now);
    }
    const RankReport report = group.Report(0, now);
    if (report.held_step.has_value() && report.armed.has_value()) {
      held = report;
      held_requested_at = now;
    }
    coordinator.OnReport(0, report, now);
  }
  for (int i = 0; i < 100 && coordinator.phase() != Phase::kIdle; ++i) {
    now += common::milliseconds(60);
    for (const RankOrder& order : coordinator.Tick(now)) {
      coordinator.OnOutcome(order.id, group.Execute(order, now), now);
    }
    ASSERT_TRUE(group.Advance(now));
    coordinator.OnReport(0, group.Report(0, now), now);
  }
  ASSERT_EQ(coordinator.phase(), Phase::kIdle);
  ASSERT_TRUE(held.has_value());
  coordinator.OnReport(0, *held, held_requested_at);
  EXPECT_TRUE(coordinator.Tick(now + kTick).empty());
  EXPECT_EQ(coordinator.phase(), Phase::kIdle);
}

TEST(MapCoordinatorTest, FencedCoordinatorGivesNoMoreOrders) {
  MapCoordinator coordinator({.ranks = 1, .generation = 1});
  const common::Time now{common::seconds(1)};
  coordinator.OnReport(0, {.epoch = 1, .open = true}, now);
  coordinator.Switch(std::make_shared<const GroupMap>(), now);
  const auto orders = coordinator.Tick(now);
  ASSERT_EQ(orders.size(), 1U);
  coordinator.OnOutcome(orders.front().id, OrderOutcome::kFenced, now);
  EXPECT_TRUE(coordinator.fenced());
  EXPECT_TRUE(coordinator.Tick(now + common::seconds(1)).empty());
}

}  // namespace
}  // namespace wagtailshore::map_coordinator
