#include "state/stream/stream_assembler.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace wagtailshore::stream {
namespace {

std::string TokenAt(uint64_t index) {
  return std::to_string(index) + ";";
}

struct OneFrameCase {
  const char* name;
  Frame frame;
  size_t expected_outcome;  // Index into FrameOutcome.
};

class OneFrameTest : public testing::TestWithParam<OneFrameCase> {};

TEST_P(OneFrameTest, GivesTheOutcome) {
  StreamAssembler assembler("r");
  assembler.StartAttempt();
  assembler.StartAttempt();
  ASSERT_TRUE(std::holds_alternative<Deliver>(
      assembler.Accept({.id = {"r", 2}, .offset = 0, .tokens = 2})));
  EXPECT_EQ(assembler.Accept(GetParam().frame).index(),
            GetParam().expected_outcome);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    OneFrameTest,
    testing::Values(
        OneFrameCase{"Next", {.id = {"r", 2}, .offset = 2, .tokens = 1}, 0},
        OneFrameCase{"EmptyLast",
                     {.id = {"r", 2}, .offset = 2, .last = true},
                     0},
        OneFrameCase{"Doubled", {.id = {"r", 2}, .offset = 0, .tokens = 2}, 1},
        OneFrameCase{"OlderAttempt",
                     {.id = {"r", 1}, .offset = 2, .tokens = 1},
                     1},
        OneFrameCase{"OtherRequest",
                     {.id = {"q", 2}, .offset = 2, .tokens = 1},
                     1},
        OneFrameCase{"Missing", {.id = {"r", 2}, .offset = 3, .tokens = 1}, 2}),
    [](const auto& info) { return info.param.name; });

// For shuffled and duplicated frames of several attempts, mixed with those of
// another request: the delivered text is always a prefix of the response.
RC_GTEST_PROP(StreamAssemblerProperty, DeliversAPrefixOfTheAnswer, ()) {
  constexpr uint64_t kTokens = 8;
  StreamAssembler assembler("mine");
  AttemptId current = assembler.StartAttempt();
  std::string delivered;
  const int steps = *rc::gen::inRange(1, 60);
  for (int i = 0; i < steps && !assembler.complete(); ++i) {
    if (*rc::gen::inRange(0, 10) == 0) {
      current = assembler.StartAttempt();
    }
    const auto offset = *rc::gen::inRange<uint64_t>(0, kTokens);
    Frame frame{
        .id = {.request = *rc::gen::element<std::string>("mine", "other"),
               .attempt = *rc::gen::inRange<uint32_t>(1, current.attempt + 1)},
        .offset = offset,
        .tokens = 1,
        .text = TokenAt(offset),
        .last = offset + 1 == kTokens};
    if (frame.id.request == "other") {
      frame.text = "not mine";
    }
    const FrameOutcome outcome = assembler.Accept(frame);
    if (const auto* deliver = std::get_if<Deliver>(&outcome)) {
      delivered += deliver->text;
    }
  }
  std::string expected;
  for (uint64_t i = 0; i < assembler.next_offset(); ++i) {
    expected += TokenAt(i);
  }
  RC_ASSERT(delivered == expected);
  RC_ASSERT(assembler.text() == expected);
  RC_ASSERT(assembler.complete() == (assembler.next_offset() == kTokens));
}

}  // namespace
}  // namespace wagtailshore::stream
