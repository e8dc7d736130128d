#include "coordination/map_coordinator/map_coordinator.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <utility>

#include "unit/coordination/map_coordinator/fake_group.h"

namespace wagtailshore::map_coordinator {
namespace {

constexpr int kRanks = 6;
constexpr common::Duration kTick = common::milliseconds(5);
constexpr common::Duration kDelay = common::milliseconds(4);

struct FaultMix {
  const char* name;
  // Share of orders that are not answered and carried out seconds later.
  double late = 0;
  // Share of orders whose answer is lost.
  double unanswered = 0;
  // Share of reports that are lost.
  double lost_reports = 0;
  // Times that the coordinator is killed, a minute, and the group re-forms.
  double kills = 0;
  double reforms = 0;
  // Whether a killed coordinator goes on beside its successor.
  bool overlapping = false;
  uint64_t seed = 1;
};

// Plays coordinators against a group under a virtual clock.
class World {
 public:
  explicit World(const FaultMix& faults)
      : faults_(faults), random_(faults.seed) {
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
      Disturb();
      Drive();
    }
  }

  FakeGroup& group() { return group_; }
  common::Duration longest_hold() const { return longest_hold_; }
  uint64_t switches() const { return switches_; }
  // Versions of the map that steps have begun with.
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
  struct Actor {
    std::shared_ptr<MapCoordinator> decisions;
    // Until then it goes on, though killed; a frozen process that wakes.
    common::Time until = common::Time::max();
  };

  bool Happens(double share) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
  }
  void At(common::Duration delay, std::function<void()> run) {
    events_.push(
        {.at = now_ + delay, .order = ++events_made_, .run = std::move(run)});
  }

  void NewCoordinator() {
    actors_.push_back({std::make_shared<MapCoordinator>(
        MapCoordinatorOptions{.ranks = kRanks, .generation = ++generation_})});
  }

  void Disturb() {
    const double ticks_a_minute = 60.0 * 1000 / 5;
    if (Happens(faults_.kills / ticks_a_minute) && !actors_.empty()) {
      if (faults_.overlapping) {
        actors_.back().until = now_ + common::seconds(3);
      } else {
        actors_.clear();
      }
      // Others notice the silence before one takes over.
      At(common::milliseconds(1300), [this] { NewCoordinator(); });
    }
    if (Happens(faults_.reforms / ticks_a_minute)) {
      group_.Reform();
    }
  }

  void Drive() {
    std::erase_if(actors_,
                  [this](const Actor& actor) { return now_ >= actor.until; });
    for (const Actor& actor : actors_) {
      if (now_ >= next_report_) {
        for (int rank = 0; rank < kRanks; ++rank) {
          SendReport(actor.decisions, rank);
        }
      }
      if (actor.decisions->CanSwitch(now_) && now_ >= next_switch_) {
        next_switch_ = now_ + common::milliseconds(400);
        actor.decisions->Switch(std::make_shared<const GroupMap>(), now_);
      }
      for (const RankOrder& order : actor.decisions->Tick(now_)) {
        SendOrder(actor.decisions, order);
      }
    }
    if (now_ >= next_report_) {
      next_report_ = now_ + common::milliseconds(50);
    }
    if (!actors_.empty()) {
      switches_ = std::max(switches_, actors_.back().decisions->switches());
    }
  }

  void SendReport(const std::shared_ptr<MapCoordinator>& to, int rank) {
    if (Happens(faults_.lost_reports)) {
      return;
    }
    At(kDelay, [this, to, rank, asked_at = now_] {
      const RankReport report = group_.Report(rank, now_);
      At(kDelay, [to, rank, report, asked_at] {
        to->OnReport(rank, report, asked_at);
      });
    });
  }

  void SendOrder(const std::shared_ptr<MapCoordinator>& from,
                 const RankOrder& order) {
    if (Happens(faults_.late)) {
      const int delay_ms =
          std::uniform_int_distribution<int>(2000, 12000)(random_);
      At(common::milliseconds(delay_ms),
         [this, order] { group_.Carry(order, now_); });
      At(common::milliseconds(150), [this, from, id = order.id] {
        from->OnOutcome(id, OrderOutcome::kUnknown, now_);
      });
      return;
    }
    const bool unanswered = Happens(faults_.unanswered);
    At(kDelay, [this, from, order, unanswered] {
      const OrderOutcome outcome = group_.Carry(order, now_);
      At(unanswered ? common::milliseconds(150) : kDelay,
         [this, from, id = order.id, outcome, unanswered] {
           from->OnOutcome(id, unanswered ? OrderOutcome::kUnknown : outcome,
                           now_);
         });
    });
  }

  FaultMix faults_;
  std::mt19937_64 random_;
  common::Time now_{common::seconds(100)};
  FakeGroup group_{kRanks, common::milliseconds(300)};
  std::vector<Actor> actors_;
  std::priority_queue<Event> events_;
  uint64_t events_made_ = 0;
  uint64_t generation_ = 0;
  common::Time next_report_{};
  common::Time next_switch_{};
  common::Duration longest_hold_{};
  uint64_t switches_ = 0;
  std::set<uint64_t> maps_used_;
};

class MapCoordinatorRunTest : public testing::TestWithParam<FaultMix> {};

// Two minutes with each of ten seeds; a group is never held longer than a
// takeover and a few repeated orders take.
TEST_P(MapCoordinatorRunTest, NoStepHasTwoMapsAndNoHoldStays) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    FaultMix faults = GetParam();
    faults.seed = seed;
    World world(faults);
    world.Run(common::seconds(120));
    if (HasFatalFailure()) {
      FAIL() << "seed " << seed;
    }
    EXPECT_LT(world.longest_hold(), common::seconds(5)) << "seed " << seed;
    EXPECT_GT(world.group().step(), 500U) << "seed " << seed;
    EXPECT_GT(world.maps_used(), 1U) << "seed " << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Faults,
    MapCoordinatorRunTest,
    testing::Values(FaultMix{.name = "Calm"},
                    FaultMix{.name = "LateOrders", .late = 0.35},
                    FaultMix{.name = "LostAnswers", .unanswered = 0.35},
                    FaultMix{.name = "LostReports", .lost_reports = 0.5},
                    FaultMix{.name = "Kills", .late = 0.1, .kills = 10},
                    FaultMix{.name = "Reforms", .late = 0.1, .reforms = 6},
                    FaultMix{.name = "Overlapping",
                             .late = 0.1,
                             .unanswered = 0.1,
                             .kills = 10,
                             .overlapping = true},
                    FaultMix{.name = "Everything",
                             .late = 0.2,
                             .unanswered = 0.1,
                             .lost_reports = 0.2,
                             .kills = 8,
                             .reforms = 3,
                             .overlapping = true}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(MapCoordinatorTest, CalmGroupIsNeverHeldAtItsStep) {
  World world({.name = "calm"});
  world.Run(common::seconds(30));
  EXPECT_EQ(world.longest_hold(), common::Duration::zero());
  EXPECT_GT(world.switches(), 20U);
}

// The hold of a coordinator that died is taken away by the next one.
TEST(MapCoordinatorTest, HoldLeftBehindIsReleased) {
  FakeGroup group(1, common::milliseconds(1));
  common::Time now{common::seconds(1)};
  group.Carry({.rank = 0, .epoch = 1, .generation = 1, .body = HoldStep{1}},
              now);
  ASSERT_TRUE(group.Advance(now));
  ASSERT_EQ(group.step(), 0U);
  MapCoordinator next({.ranks = 1, .generation = 2});
  next.OnReport(0, group.Report(0, now), now);
  for (const RankOrder& order : next.Tick(now)) {
    next.OnOutcome(order.id, group.Carry(order, now), now);
  }
  ASSERT_TRUE(group.Advance(now));
  EXPECT_EQ(group.step(), 1U);
}

// An answer that was under way while the group was released still shows the
// hold, and must not be taken for one that somebody left behind.
TEST(MapCoordinatorTest, ReportFromBeforeTheReleaseStartsNothing) {
  FakeGroup group(1, common::milliseconds(1));
  MapCoordinator decisions({.ranks = 1, .generation = 1});
  common::Time now{common::seconds(1)};
  ASSERT_TRUE(group.Advance(now));
  decisions.OnReport(0, group.Report(0, now), now);
  decisions.Switch(std::make_shared<const GroupMap>(), now);
  std::optional<RankReport> held;
  common::Time held_asked_at{};
  for (int i = 0; i < 100 && decisions.switches() == 0; ++i) {
    now += kTick;
    for (const RankOrder& order : decisions.Tick(now)) {
      decisions.OnOutcome(order.id, group.Carry(order, now), now);
    }
    const RankReport report = group.Report(0, now);
    if (report.held_step.has_value() && report.armed.has_value()) {
      held = report;
      held_asked_at = now;
    }
    decisions.OnReport(0, report, now);
  }
  for (int i = 0; i < 100 && decisions.phase() != Phase::kIdle; ++i) {
    now += common::milliseconds(60);
    for (const RankOrder& order : decisions.Tick(now)) {
      decisions.OnOutcome(order.id, group.Carry(order, now), now);
    }
    ASSERT_TRUE(group.Advance(now));
    decisions.OnReport(0, group.Report(0, now), now);
  }
  ASSERT_EQ(decisions.phase(), Phase::kIdle);
  ASSERT_TRUE(held.has_value());
  decisions.OnReport(0, *held, held_asked_at);
  EXPECT_TRUE(decisions.Tick(now + kTick).empty());
  EXPECT_EQ(decisions.phase(), Phase::kIdle);
}

TEST(MapCoordinatorTest, FencedCoordinatorGivesNoMoreOrders) {
  MapCoordinator decisions({.ranks = 1, .generation = 1});
  const common::Time now{common::seconds(1)};
  decisions.OnReport(0, {.epoch = 1, .open = true}, now);
  decisions.Switch(std::make_shared<const GroupMap>(), now);
  const auto orders = decisions.Tick(now);
  ASSERT_EQ(orders.size(), 1U);
  decisions.OnOutcome(orders.front().id, OrderOutcome::kFenced, now);
  EXPECT_TRUE(decisions.fenced());
  EXPECT_TRUE(decisions.Tick(now + common::seconds(1)).empty());
}

}  // namespace
}  // namespace wagtailshore::map_coordinator
