#include "platform/engine.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace wagtailshore::platform {
namespace {

using map_coordinator::OrderOutcome;
using nlohmann::json;

TEST(EngineTest, StateIsDecoded) {
  const auto state = DecodeEngineState(http_channel::CallAnswer{
      .status = 200,
      .body = R"({"group":{"name":"g","epoch":3,"rank":2,"state":"open"},)"
              R"("size":12,"step":40,"map":7,"prepared":8,)"
              R"("armed":{"version":8,"step":43},"held":43,"pace":1.5})"});
  ASSERT_TRUE(state.ok()) << state.status().message();
  EXPECT_EQ(state->group, "g");
  EXPECT_EQ(state->ranks, 12);
  EXPECT_TRUE(state->report.open);
  EXPECT_EQ(state->report.prepared, 8U);
  EXPECT_EQ(state->report.armed,
            (map_coordinator::ArmedMap{.version = 8, .step = 43}));
  EXPECT_EQ(state->report.held_step, 43U);
}

// Guards against a rank whose state or counts are refused for the way in which
// whole numbers are written.
TEST(EngineTest, WholeNumbersMayHaveAFraction) {
  const auto state = DecodeEngineState(http_channel::CallAnswer{
      .status = 200,
      .body = R"({"group":{"name":"g","epoch":3.0,"rank":2.0,"state":"open"},)"
              R"("size":12.0,"step":4e1,"map":7.0,"prepared":8.0,)"
              R"("armed":{"version":8.0,"step":43.0},"held":43.0})"});
  ASSERT_TRUE(state.ok()) << state.status().message();
  EXPECT_EQ(state->rank, 2);
  EXPECT_EQ(state->report.step, 40U);
  EXPECT_EQ(state->report.held_step, 43U);
  const http_channel::CallAnswer picked{
      .status = 200,
      .body = R"({"counts":[5120.0,88],"map":{"experts":[[0,2.0]]}})"};
  EXPECT_EQ(DecodeExpertCounts(picked).value_or(std::vector<uint64_t>()),
            (std::vector<uint64_t>{5120, 88}));
  EXPECT_EQ(DecodeExperts(picked).value_or(std::vector<std::vector<int>>()),
            (std::vector<std::vector<int>>{{0, 2}}));
}

TEST(EngineTest, NothingPreparedArmedOrHeld) {
  const auto state = DecodeEngineState(http_channel::CallAnswer{
      .status = 200,
      .body = R"({"group":{"name":"g","epoch":1,"rank":0,"state":"broken"},)"
              R"("size":2,"step":0,"map":0,"prepared":null,"armed":null,)"
              R"("held":null})"});
  ASSERT_TRUE(state.ok());
  EXPECT_FALSE(state->report.open);
  EXPECT_FALSE(state->report.prepared.has_value());
  EXPECT_FALSE(state->report.armed.has_value());
  EXPECT_FALSE(state->report.held_step.has_value());
}

TEST(EngineTest, EngineWithoutAGroup) {
  EXPECT_TRUE(absl::IsNotFound(
      DecodeEngineState(http_channel::CallAnswer{.status = 200, .body = "{}"})
          .status()));
  EXPECT_FALSE(DecodeEngineState(http_channel::CallAnswer{.status = 503}).ok());
  EXPECT_FALSE(
      DecodeExpertCounts(
          http_channel::CallAnswer{.status = 200, .body = R"({"counts":[-1]})"})
          .ok());
}

struct StateFieldCase {
  const char* name;
  const char* field;
  json value;
};

class StateFieldTest : public testing::TestWithParam<StateFieldCase> {};

// Guards against a rank that is armed or held and passes for one that is free,
// because the field cannot be read.
TEST_P(StateFieldTest, MakesTheStateMalformed) {
  json body = {
      {"group", {{"name", "g"}, {"epoch", 3}, {"rank", 2}, {"state", "open"}}},
      {"size", 12},
      {"step", 40},
      {"map", 7}};
  body[GetParam().field] = GetParam().value;
  EXPECT_TRUE(absl::IsInvalidArgument(
      DecodeEngineState(
          http_channel::CallAnswer{.status = 200, .body = body.dump()})
          .status()));
}

INSTANTIATE_TEST_SUITE_P(
    Fields,
    StateFieldTest,
    testing::Values(
        StateFieldCase{"PreparedText", "prepared", "8"},
        StateFieldCase{"PreparedNegative", "prepared", -8},
        StateFieldCase{"ArmedNumber", "armed", 8},
        StateFieldCase{"ArmedWithoutStep", "armed", {{"version", 8}}},
        StateFieldCase{"ArmedAtNull",
                       "armed",
                       {{"version", 8}, {"step", nullptr}}},
        StateFieldCase{"HeldText", "held", "43"},
        StateFieldCase{"HeldList", "held", json::array({43})},
        StateFieldCase{"MapNull", "map", nullptr},
        StateFieldCase{"StepText", "step", "40"},
        StateFieldCase{"SizeFraction", "size", 12.5}),
    [](const auto& info) { return std::string(info.param.name); });

class BadListTest : public testing::TestWithParam<const char*> {};

// Guards against counts or experts that cannot be read and pass for none.
TEST_P(BadListTest, IsMalformed) {
  const http_channel::CallAnswer answer{.status = 200, .body = GetParam()};
  EXPECT_TRUE(absl::IsInvalidArgument(DecodeExpertCounts(answer).status()));
  EXPECT_TRUE(absl::IsInvalidArgument(DecodeExperts(answer).status()));
}

INSTANTIATE_TEST_SUITE_P(
    Bodies,
    BadListTest,
    testing::Values("{}",
                    R"({"counts":null,"map":{"experts":null}})",
                    R"({"counts":{"0":1},"map":{"experts":{"0":[1]}}})",
                    R"({"counts":[true],"map":{"experts":[{"0":1}]}})",
                    R"({"counts":[1.5],"map":{"experts":[[-1]]}})"));

TEST(EngineTest, OrderNamesEpochAndFencingNumber) {
  const http_channel::Call call =
      EngineOrderCall({.rank = 1,
                       .epoch = 4,
                       .generation = 9,
                       .body = map_coordinator::HoldStep{.step = 30}});
  const json body = json::parse(call.body);
  EXPECT_EQ(body.at("operation"), "retention");
  EXPECT_EQ(body.at("step"), 30);
  EXPECT_EQ(body.at("epoch"), 4);
  EXPECT_EQ(body.at("fencing_token"), 9);
}

struct OutcomeCase {
  int status;
  OrderOutcome outcome;
};

class OrderOutcomeTest : public testing::TestWithParam<OutcomeCase> {};

TEST_P(OrderOutcomeTest, StatusesAreRead) {
  EXPECT_EQ(
      DecodeOrderOutcome(http_channel::CallAnswer{.status = GetParam().status}),
      GetParam().outcome);
}

INSTANTIATE_TEST_SUITE_P(
    Statuses,
    OrderOutcomeTest,
    testing::Values(OutcomeCase{200, OrderOutcome::kAccepted},
                    OutcomeCase{202, OrderOutcome::kAccepted},
                    OutcomeCase{409, OrderOutcome::kConflict},
                    OutcomeCase{412, OrderOutcome::kFenced},
                    OutcomeCase{400, OrderOutcome::kRefused},
                    OutcomeCase{421, OrderOutcome::kRefused}));

TEST(EngineTest, NoAnswerIsUnknown) {
  EXPECT_EQ(DecodeOrderOutcome(absl::DeadlineExceededError("late")),
            OrderOutcome::kUnknown);
}

}  // namespace
}  // namespace wagtailshore::platform
