#include <gtest/gtest.h>
#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "common/invariant.h"
#include "common/strings.h"
#include "crowd/process_usage.h"
#include "crowd/transmissions.h"
#include "e2e/child_process.h"
#include "protocol/http1/serialize.h"
#include "support/hosted_world.h"

// A gateway process before a crowd of clients that nobody controls.
namespace wagtailshore::crowd {
namespace {

using hosted_world::FakeEndpoint;
using hosted_world::FakeStore;
using hosted_world::Received;
using hosted_world::Reply;
using nlohmann::json;

// The limits of the process, lowered so that a small crowd shows what is not
// counted against them.
constexpr size_t kMemoryMegabytes = 40;
constexpr size_t kMaxBodyBytes = size_t{1} << 20;
constexpr size_t kMaxDescriptors = 400;
constexpr size_t kLargeAnswerBytes = size_t{256} << 10;
// Large bodies are answered late, so that many are open at once.
constexpr size_t kLargeBodyBytes = size_t{64} << 10;
constexpr common::Duration kLargeBodyDelay = common::seconds(1);
constexpr common::Duration kStartTimeout = common::seconds(20);
constexpr common::Duration kAnswerTimeout = common::seconds(20);
// Ends the wait for a crowd of which the server reads no more.
constexpr common::Duration kMaxSendTime = common::seconds(8);
constexpr common::Duration kStayOpenTime = common::seconds(1);
constexpr common::Duration kSamplePeriod = common::milliseconds(10);
constexpr int kOk = 200;

std::string RequestHeaders(const std::string& id) {
  return common::StrCat("Host: h.example\r\nX-Wagtailshore-Attempt-Id: ", id,
                        "\r\nX-Wagtailshore-Deadline-Ms: 8000\r\n"
                        "Authorization: Token key\r\n");
}

TargetRequest Target() {
  return {.headers = RequestHeaders("crowd"),
          .path = "/safe/x",
          .bodiless_path = "/safe/x",
          .large_answer_path = "/safe/large",
          .max_body_bytes = kMaxBodyBytes};
}

uint16_t FreePort(event_loop::EventLoop& loop) {
  const auto listener =
      stream_socket::Listener::Open(loop, "127.0.0.1:0", [](int) {});
  return (*listener)->port();
}

class OneRequest final : public http_channel::ExchangeListener {
 public:
  http_channel::ResponseOrigin OnHead(
      const http1::ResponseHead& head) override {
    status_ = head.status;
    return http_channel::ResponseOrigin::kThisExchange;
  }
  void OnBody(std::string_view) override {}
  void OnComplete() override { ended_ = true; }
  void OnFailed(const http_channel::ExchangeFailure&) override {
    status_ = 0;
    ended_ = true;
  }
  bool ended() const { return ended_; }
  // 0 without a whole answer.
  int status() const { return ended_ ? status_ : 0; }

 private:
  int status_ = 0;
  bool ended_ = false;
};

struct ProcessLimits {
  size_t memory_megabytes = kMemoryMegabytes;
  size_t max_descriptors = kMaxDescriptors;
};

// A gateway process with a fake store and a sound endpoint.
class GatewayProcess {
 public:
  explicit GatewayProcess(const ProcessLimits& limits = {})
      : limits_(limits),
        store_(loop_),
        endpoint_(loop_,
                  [](const Received& request) { return Answer(request); }),
        pool_(loop_, {.silence_timeout = kAnswerTimeout}) {
    json configuration = hosted_world::HostedWorld::Configuration(1);
    configuration["limits"] = {{"max_header_bytes", 16384},
                               {"max_body_bytes", kMaxBodyBytes},
                               {"header_timeout_ms", 30000},
                               {"idle_timeout_ms", 30000}};
    for (json& route : configuration["routes"]) {
      route["timeout_ms"] = 8000;
    }
    store_.SetConfiguration(configuration);
    json entry = hosted_world::HostedWorld::EndpointEntry(endpoint_.address());
    entry["slots"] = 1000;
    store_.SetEndpoint("e0", entry);
    port_ = FreePort(loop_);
    Start();
  }
  ~GatewayProcess() { std::filesystem::remove_all(folder_); }
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  event_loop::EventLoop& loop() { return loop_; }
  std::string address() const { return common::StrCat("127.0.0.1:", port_); }

  // Runs the loop until `condition` holds, for `timeout` at most, and samples
  // the process meanwhile.
  bool RunUntil(const std::function<bool()>& condition,
                common::Duration timeout) {
    const common::Time end = loop_.Now() + timeout;
    while (!condition()) {
      if (loop_.Now() >= end) {
        return false;
      }
      loop_.RunAfter(kSamplePeriod, [this] { loop_.Stop(); });
      loop_.Run();
      Sample();
    }
    return true;
  }

  // Sends one request and returns the status of its answer, 0 without one.
  int Ask(const std::string& body) {
    OneRequest request;
    const std::string bytes = common::StrCat(
        "POST /safe/x HTTP/1.1\r\n",
        RequestHeaders(common::StrCat("a", ++asked_)),
        "Connection: close\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
    pool_.Open("gateway", address())
        .Send(bytes, request, /*without_body=*/false);
    RunUntil([&] { return request.ended(); }, kAnswerTimeout);
    WS_INVARIANT(request.ended()) << "each request ends in time";
    return request.status();
  }

  bool alive() {
    return !process_->WaitForExit(common::Duration::zero()).has_value();
  }
  size_t peak_resident_bytes() const {
    return PeakResidentBytes(process_->pid());
  }
  // The most that samples showed: resident memory together with what the
  // kernel holds unread, and descriptors.
  size_t peak_held_bytes() const { return peak_held_bytes_; }
  size_t peak_descriptors() const { return peak_descriptors_; }

 private:
  static Reply Answer(const Received& request) {
    const bool large = request.head.target == "/safe/large";
    Reply reply = hosted_world::Plain(
        request, kOk, large ? std::string(kLargeAnswerBytes, 'y') : "ok");
    if (request.body.size() > kLargeBodyBytes) {
      reply.delay = kLargeBodyDelay;
    }
    return reply;
  }

  void Start() {
    std::string folder = "/tmp/wagtailshore-crowd-XXXXXX";
    WS_INVARIANT(mkdtemp(folder.data()) != nullptr) << "a folder is created";
    folder_ = folder;
    const std::string settings = folder_ + "/settings.json";
    std::ofstream(settings)
        << json{{"node_name", "gateway"},
                {"zone", "z"},
                {"ip", "127.0.0.1"},
                {"listen", {{"front", address()}}},
                {"limits",
                 {{"memory_mb", limits_.memory_megabytes},
                  {"max_fds", limits_.max_descriptors}}},
                {"platform", {{"address", store_.address()}}},
                {"bounds", {{"grace_s", 4}, {"retry_allowance", 200}}}};
    setenv("WAGTAILSHORE_SETTINGS", settings.c_str(), 1);
    process_ = std::make_unique<e2e::ChildProcess>(
        std::vector<std::string>{DAEMON_PATH, "--role=gateway"},
        folder_ + "/gateway.log");
    const common::Time end = loop_.Now() + kStartTimeout;
    while (Ask("hello") != kOk) {
      WS_INVARIANT(loop_.Now() < end) << "the gateway serves after its start";
    }
  }

  void Sample() {
    if (process_ == nullptr) {
      return;
    }
    peak_held_bytes_ = std::max(
        peak_held_bytes_, ResidentBytes(process_->pid()) + UnreadBytes(port_));
    peak_descriptors_ =
        std::max(peak_descriptors_, OpenDescriptors(process_->pid()));
  }

  ProcessLimits limits_;
  event_loop::EventLoop loop_;
  FakeStore store_;
  FakeEndpoint endpoint_;
  http_channel::EndpointPool pool_;
  uint16_t port_ = 0;
  std::string folder_;
  std::unique_ptr<e2e::ChildProcess> process_;
  int asked_ = 0;
  size_t peak_held_bytes_ = 0;
  size_t peak_descriptors_ = 0;
};

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
  GatewayProcess gateway;
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
  GatewayProcess gateway(kLimits);
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
  GatewayProcess gateway;
  EXPECT_EQ(gateway.Ask(std::string(kMaxBodyBytes, 'x')), kOk);
  EXPECT_LE(gateway.peak_resident_bytes(),
            kMemoryMegabytes * kBytesPerMegabyte);
}

}  // namespace
}  // namespace wagtailshore::crowd
