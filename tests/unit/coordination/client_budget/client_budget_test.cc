#include "coordination/client_budget/client_budget.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace wagtailshore::client_budget {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;

constexpr size_t kKilobyte = 1024;
constexpr size_t kMegabyte = kKilobyte * kKilobyte;
constexpr BudgetOptions kOptions{.memory_bytes = 16 * kMegabyte,
                                 .connection_bytes = 16 * kKilobyte,
                                 .max_clients = 8,
                                 .small_bytes = 64 * kKilobyte,
                                 .small_share = 0.125,
                                 .stall_time = common::seconds(1)};
// What large clients may fill.
constexpr size_t kLargePart = 14 * kMegabyte;

common::Time At(int64_t ms) {
  return common::Time(common::milliseconds(ms));
}

class ClientBudgetTest : public testing::Test {
 protected:
  // A client in the phase that holds `bytes`.
  void Add(ClientId id, Phase phase, size_t bytes, common::Time now) {
    ASSERT_TRUE(budget_.Open(id, now).granted);
    budget_.SetPhase(id, phase, now);
    ASSERT_TRUE(budget_.Resize(id, bytes, now).granted);
  }

  ClientBudget budget_{kOptions};
};

// What happens to a client that holds most of the memory when another one asks
// for more than is left.
struct EvictionCase {
  const char* name;
  Phase phase;
  size_t held_bytes;
  int64_t age_ms;
  size_t asked_bytes;
  bool granted;
  bool evicted;
};

std::ostream& operator<<(std::ostream& out, const EvictionCase& param) {
  return out << param.name;
}

class EvictionTest : public ClientBudgetTest,
                     public testing::WithParamInterface<EvictionCase> {};

TEST_P(EvictionTest, FreesMemoryThatCanBeTakenBack) {
  const EvictionCase& param = GetParam();
  Add(1, param.phase, param.held_bytes, At(0));
  Add(2, Phase::kReceiving, kOptions.connection_bytes, At(param.age_ms));
  const Verdict verdict =
      budget_.Resize(2, param.asked_bytes, At(param.age_ms));
  EXPECT_EQ(verdict.granted, param.granted);
  EXPECT_EQ(verdict.evicted,
            param.evicted ? std::vector<ClientId>{1} : std::vector<ClientId>{});
}

INSTANTIATE_TEST_SUITE_P(
    Clients,
    EvictionTest,
    testing::Values(
        EvictionCase{"LargerTransferToASmallerOne", Phase::kReceiving,
                     kLargePart, 0, 4 * kMegabyte, true, true},
        EvictionCase{"EqualTransferIsKept", Phase::kReceiving, 8 * kMegabyte, 0,
                     8 * kMegabyte, false, false},
        EvictionCase{"StalledTransferToALargerOne", Phase::kReceiving,
                     4 * kMegabyte, 1000, 12 * kMegabyte, true, true},
        EvictionCase{"RunningRequestIsKept", Phase::kRunning, kLargePart,
                     60'000, 4 * kMegabyte, false, false},
        EvictionCase{"RunningRequestsLeaveRoomForSmallOnes", Phase::kRunning,
                     kLargePart - 16 * kKilobyte, 0, 64 * kKilobyte, true,
                     false},
        EvictionCase{"AnswerThatIsReadIsKept", Phase::kSending, kLargePart, 999,
                     4 * kMegabyte, false, false},
        EvictionCase{"AnswerThatNobodyReads", Phase::kSending, kLargePart, 1000,
                     4 * kMegabyte, true, true}),
    [](const auto& info) { return std::string(info.param.name); });

TEST_F(ClientBudgetTest, LargestRequestAloneIsGranted) {
  EXPECT_TRUE(FitsAlone(kOptions, kLargePart - kOptions.connection_bytes));
  EXPECT_FALSE(FitsAlone(kOptions, kLargePart));
  Add(1, Phase::kReceiving, kLargePart, At(0));
  EXPECT_EQ(budget_.held_bytes(), kLargePart);
}

TEST_F(ClientBudgetTest, NobodyGivesWayInVain) {
  Add(1, Phase::kRunning, 10 * kMegabyte, At(0));
  Add(2, Phase::kReceiving, kMegabyte, At(0));
  Add(3, Phase::kReceiving, kOptions.connection_bytes, At(5000));
  const Verdict verdict = budget_.Resize(3, 8 * kMegabyte, At(5000));
  EXPECT_FALSE(verdict.granted);
  EXPECT_THAT(verdict.evicted, IsEmpty());
}

TEST_F(ClientBudgetTest, LargestGivesWayFirst) {
  Add(1, Phase::kReceiving, 4 * kMegabyte, At(0));
  Add(2, Phase::kReceiving, 6 * kMegabyte, At(0));
  Add(3, Phase::kReceiving, 3 * kMegabyte, At(0));
  Add(4, Phase::kReceiving, kOptions.connection_bytes, At(0));
  EXPECT_THAT(budget_.Resize(4, 2 * kMegabyte, At(0)).evicted, ElementsAre(2));
}

TEST_F(ClientBudgetTest, ReadAheadIsGrantedInCalmOnly) {
  Add(1, Phase::kRunning, kMegabyte, At(0));
  EXPECT_TRUE(budget_.ResizeOptional(1, 8 * kMegabyte));
  EXPECT_FALSE(budget_.ResizeOptional(1, 8 * kMegabyte + 1));
}

TEST_F(ClientBudgetTest, MuchFreedMemoryIsGivenBackOnce) {
  for (ClientId id = 1; id <= 3; ++id) {
    Add(id, Phase::kReceiving, kMegabyte, At(0));
  }
  budget_.Close(1);
  EXPECT_FALSE(budget_.ShouldTrim());
  budget_.Close(2);
  ASSERT_TRUE(budget_.Resize(3, kOptions.connection_bytes, At(0)).granted);
  EXPECT_TRUE(budget_.ShouldTrim());
  EXPECT_FALSE(budget_.ShouldTrim());
}

// The client to close when there are too many.
TEST_F(ClientBudgetTest, LongestWaitingConnectionIsClosedForANewOne) {
  Add(1, Phase::kRunning, kMegabyte, At(0));
  Add(2, Phase::kReceiving, kMegabyte, At(10));
  for (int id = 3; id <= static_cast<int>(kOptions.max_clients); ++id) {
    Add(static_cast<ClientId>(id), Phase::kWaiting, kOptions.connection_bytes,
        At(20 + id));
  }
  EXPECT_THAT(budget_.Open(100, At(2000)).evicted, ElementsAre(3));
  EXPECT_EQ(budget_.clients(), kOptions.max_clients);
}

TEST_F(ClientBudgetTest, NewConnectionIsRefusedWhileAllRun) {
  for (ClientId id = 1; id <= kOptions.max_clients; ++id) {
    Add(id, Phase::kRunning, kOptions.connection_bytes, At(0));
  }
  const Verdict verdict = budget_.Open(100, At(60'000));
  EXPECT_FALSE(verdict.granted);
  EXPECT_THAT(verdict.evicted, IsEmpty());
}

struct MachineCase {
  const char* name;
  MachineLimits limits;
  size_t least_memory_bytes;
  size_t max_clients;
};

std::ostream& operator<<(std::ostream& out, const MachineCase& param) {
  return out << param.name;
}

class MachineTest : public testing::TestWithParam<MachineCase> {};

TEST_P(MachineTest, ClientsGetAPartOfTheMachine) {
  const MachineCase& param = GetParam();
  const BudgetOptions options = OptionsFor(param.limits);
  EXPECT_GE(options.memory_bytes, param.least_memory_bytes);
  EXPECT_LT(options.memory_bytes, param.limits.memory_bytes);
  EXPECT_EQ(options.max_clients, param.max_clients);
}

INSTANTIATE_TEST_SUITE_P(
    Machines,
    MachineTest,
    testing::Values(
        MachineCase{"Gateway",
                    {.memory_bytes = 260 * kMegabyte, .max_sockets = 3900},
                    200 * kMegabyte,
                    1918},
        MachineCase{"Small",
                    {.memory_bytes = 40 * kMegabyte, .max_sockets = 200},
                    14 * kMegabyte,
                    68},
        MachineCase{"Tiny",
                    {.memory_bytes = 8 * kMegabyte, .max_sockets = 10},
                    2 * kMegabyte,
                    2}),
    [](const auto& info) { return std::string(info.param.name); });

// Whatever clients do, the sum of what they hold is counted right and stays
// within the memory, and requests that may run keep what they hold.
RC_GTEST_PROP(ClientBudgetProperty, StaysWithinTheBudget, ()) {
  ClientBudget budget(kOptions);
  std::map<ClientId, std::pair<Phase, size_t>> model;
  int64_t now_ms = 0;
  const auto evict = [&](const Verdict& verdict, bool closed) {
    for (const ClientId id : verdict.evicted) {
      RC_ASSERT(model.at(id).first != Phase::kRunning);
      if (closed) {
        model.erase(id);
      } else {
        model.at(id).second = kOptions.connection_bytes;
      }
    }
  };
  const auto steps = *rc::gen::inRange(1, 200);
  for (int step = 0; step < steps; ++step) {
    now_ms += *rc::gen::inRange(0, 400);
    const ClientId id = *rc::gen::inRange<ClientId>(1, 20);
    const bool known = model.contains(id);
    switch (known ? *rc::gen::inRange(0, 4) : 0) {
      case 0:
        if (!known) {
          const Verdict verdict = budget.Open(id, At(now_ms));
          evict(verdict, /*closed=*/true);
          if (verdict.granted) {
            model[id] = {Phase::kWaiting, kOptions.connection_bytes};
          }
        }
        break;
      case 1: {
        const size_t bytes =
            *rc::gen::inRange<size_t>(kOptions.connection_bytes, 6 * kMegabyte);
        const bool less = bytes <= model[id].second;
        const Verdict verdict = budget.Resize(id, bytes, At(now_ms));
        RC_ASSERT(verdict.granted || !less);
        evict(verdict, /*closed=*/false);
        if (verdict.granted) {
          model[id].second = bytes;
        }
        break;
      }
      case 2: {
        const Phase phase =
            *rc::gen::element(Phase::kWaiting, Phase::kReceiving,
                              Phase::kRunning, Phase::kSending);
        budget.SetPhase(id, phase, At(now_ms));
        model[id].first = phase;
        break;
      }
      default:
        budget.Close(id);
        model.erase(id);
    }
    size_t sum = 0;
    for (const auto& [client, holding] : model) {
      sum += holding.second;
    }
    RC_ASSERT(budget.held_bytes() == sum);
    RC_ASSERT(budget.held_bytes() <= kOptions.memory_bytes);
    RC_ASSERT(budget.clients() == model.size());
    RC_ASSERT(budget.clients() <= kOptions.max_clients);
  }
}

}  // namespace
}  // namespace wagtailshore::client_budget
