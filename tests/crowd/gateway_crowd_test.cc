#include <gtest/gtest.h>

#include <iostream>

#include "crowd/gateway_process.h"
#include "crowd/process_usage.h"
#include "crowd/transmissions.h"

// A gateway process before a crowd of clients that nobody controls.
namespace wagtailshore::crowd {
namespace {

// Ends the wait for a crowd of which the server reads no more.
constexpr common::Duration kMaxSendTime = common::seconds(8);
constexpr common::Duration kStayOpenTime = common::seconds(1);

TargetRequest Target() {
  return {.headers = RequestHeaders("crowd"),
          .path = "/safe/x",
          .bodiless_path = "/safe/x",
          .large_answer_path = "/safe/large",
          .max_body_bytes = kMaxBodyBytes};
}

struct CrowdCase {
  const char* name;
  int clients;
  std::vector<Shape> shapes;
};

std::ostream& operator<<(std::ostream& out, const CrowdCase& param) {
  return out << param.name;
}

class GatewayCrowdTest : public testing::TestWithParam<CrowdCase> {};

// Guards against clients that take a gateway over the memory or the
// descriptors of its machine, or keep it from serving others.
TEST_P(GatewayCrowdTest, StaysWithinItsLimitsAndServes) {
  const CrowdCase& param = GetParam();
  event_loop::EventLoop loop;
  GatewayProcess gateway(loop);
  std::vector<Transmission> transmissions;
  for (const Shape shape : param.shapes) {
    transmissions.push_back(TransmissionOf(shape, Target()));
  }
  {
    const ClientCrowd crowd(gateway.loop(), gateway.address(), param.clients,
                            transmissions);
    gateway.RunUntil([&] { return crowd.sent(); }, kMaxSendTime);
    EXPECT_EQ(gateway.Ask("hello"), kOk) << "beside the open crowd";
    gateway.RunUntil([] { return false; }, kStayOpenTime);
  }
  EXPECT_EQ(gateway.Ask("hello"), kOk) << "after the crowd";
  EXPECT_EQ(gateway.Ask(std::string(kMaxBodyBytes, 'x')), kOk)
      << "a largest request after the crowd";
  EXPECT_TRUE(gateway.alive());
  std::cout << "peak: " << gateway.peak_resident_bytes() / kBytesPerMegabyte
            << " MB, with what the kernel held "
            << gateway.peak_held_bytes() / kBytesPerMegabyte << " MB, "
            << gateway.peak_descriptors() << " descriptors\n";
  EXPECT_LE(gateway.peak_resident_bytes(),
            kMemoryMegabytes * kBytesPerMegabyte);
  EXPECT_LE(gateway.peak_held_bytes(), kMemoryMegabytes * kBytesPerMegabyte);
  EXPECT_LE(gateway.peak_descriptors(), kMaxDescriptors);
}

INSTANTIATE_TEST_SUITE_P(
    Crowds,
    GatewayCrowdTest,
    testing::Values(
        CrowdCase{"Whole", 60, {Shape::kWhole}},
        CrowdCase{"OneByteShort", 60, {Shape::kOneByteShort}},
        CrowdCase{"Trickle", 60, {Shape::kTrickle}},
        CrowdCase{"LargeChunks", 60, {Shape::kLargeChunks}},
        CrowdCase{"SmallChunks", 60, {Shape::kSmallChunks}},
        CrowdCase{"Extensions", 60, {Shape::kExtensions}},
        CrowdCase{"EndlessChunkLine", 60, {Shape::kEndlessChunkLine}},
        CrowdCase{"EndlessTrailer", 60, {Shape::kEndlessTrailer}},
        CrowdCase{"ChunksOverLimit", 60, {Shape::kChunksOverLimit}},
        CrowdCase{"LengthOverLimit", 60, {Shape::kLengthOverLimit}},
        CrowdCase{"TwoBodies", 60, {Shape::kTwoBodies}},
        CrowdCase{"Pipelined", 60, {Shape::kPipelined}},
        CrowdCase{"AnswersNotRead", 60, {Shape::kAnswersNotRead}},
        CrowdCase{
            "Mix",
            90,
            {Shape::kWhole, Shape::kOneByteShort, Shape::kLargeChunks,
             Shape::kSmallChunks, Shape::kEndlessTrailer, Shape::kHeadShort}},
        CrowdCase{"ManyFields", 160, {Shape::kManyFields}},
        CrowdCase{"HeadShort", 600, {Shape::kHeadShort}},
        CrowdCase{"Idle", 600, {Shape::kIdle}}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against freed memory that the allocator keeps: that of many small
// bodies, between some that stay, and then that of large ones.
TEST(GatewayCrowdsTest, SmallBodiesThenLargeOnes) {
  constexpr ProcessLimits kLimits{.memory_megabytes = 64,
                                  .max_descriptors = 4100};
  TargetRequest small = Target();
  small.max_body_bytes = 60'000;
  const std::vector<Transmission> small_bodies = {
      TransmissionOf(Shape::kOneByteShort, small)};
  const std::vector<Transmission> large_bodies = {
      TransmissionOf(Shape::kOneByteShort, Target())};
  event_loop::EventLoop loop;
  GatewayProcess gateway(loop, kLimits);
  const auto send = [&](int clients, const std::vector<Transmission>& sent) {
    auto crowd = std::make_unique<ClientCrowd>(
        gateway.loop(), gateway.address(), clients, sent);
    gateway.RunUntil([&] { return crowd->sent(); }, kMaxSendTime);
    return crowd;
  };
  std::vector<std::unique_ptr<ClientCrowd>> leaving;
  std::vector<std::unique_ptr<ClientCrowd>> staying;
  for (int i = 0; i < 70; ++i) {
    leaving.push_back(send(4, small_bodies));
    staying.push_back(send(1, small_bodies));
  }
  leaving.clear();
  gateway.RunUntil([] { return false; }, kStayOpenTime);
  const auto large = send(60, large_bodies);
  gateway.RunUntil([] { return false; }, kStayOpenTime);
  EXPECT_EQ(gateway.Ask("hello"), kOk);
  EXPECT_TRUE(gateway.alive());
  std::cout << "peak: " << gateway.peak_resident_bytes() / kBytesPerMegabyte
            << " MB\n";
  EXPECT_LE(gateway.peak_resident_bytes(),
            kLimits.memory_megabytes * kBytesPerMegabyte);
}

// A largest request alone is inside the limits.
TEST(GatewayCalmTest, LargestRequestAloneIsServed) {
  event_loop::EventLoop loop;
  GatewayProcess gateway(loop);
  EXPECT_EQ(gateway.Ask(std::string(kMaxBodyBytes, 'x')), kOk);
  EXPECT_LE(gateway.peak_resident_bytes(),
            kMemoryMegabytes * kBytesPerMegabyte);
}

}  // namespace
}  // namespace wagtailshore::crowd
