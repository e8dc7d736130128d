#include <gtest/gtest.h>
#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "common/invariant.h"
#include "common/strings.h"
#include "crowd/endless_server.h"
#include "crowd/process_usage.h"
#include "crowd/transmissions.h"
#include "e2e/child_process.h"
#include "protocol/companion_messages/companion_messages.h"
#include "support/hosted_world.h"
#include "transport/http_channel/http_call.h"

// A companion process before a crowd of clients on its peer port.
namespace wagtailshore::crowd {
namespace {

using nlohmann::json;

// Lowered, so that a small crowd shows what is not counted against it.
constexpr size_t kMemoryMegabytes = 40;
constexpr size_t kMaxBodyBytes = size_t{4} << 20;
constexpr int kClients = 30;
constexpr common::Duration kTimeout = common::seconds(20);
constexpr common::Duration kMaxSendTime = common::seconds(8);
constexpr common::Duration kPollPeriod = common::milliseconds(10);
constexpr int kNotFound = 404;
constexpr int kRounds = 4;
constexpr common::Duration kRoundTime = common::milliseconds(400);

struct CrowdCase {
  const char* name;
  Shape shape;
};

std::ostream& operator<<(std::ostream& out, const CrowdCase& param) {
  return out << param.name;
}

// A companion process with a fake store, whose engine is at `engine_address`.
class CompanionProcess {
 public:
  CompanionProcess(event_loop::EventLoop& loop,
                   const std::string& engine_address)
      : loop_(loop), store_(loop_), pool_(loop_, {}), caller_(loop_, pool_) {
    port_ = (*stream_socket::Listener::Open(loop_, "127.0.0.1:0", [](int) {
            }))->port();
    std::string folder = "/tmp/wagtailshore-crowd-XXXXXX";
    WS_INVARIANT(mkdtemp(folder.data()) != nullptr) << "a folder is created";
    folder_ = folder;
    const std::string settings = folder_ + "/settings.json";
    std::ofstream(settings)
        << json{{"node_name", "companion"},
                {"zone", "z"},
                {"ip", "127.0.0.1"},
                {"app", engine_address},
                {"service", "s"},
                {"internal_port_range", {port_, port_}},
                {"limits", {{"memory_mb", kMemoryMegabytes}, {"max_fds", 400}}},
                {"platform", {{"address", store_.address()}}}};
    setenv("WAGTAILSHORE_SETTINGS", settings.c_str(), 1);
    process_ = std::make_unique<e2e::ChildProcess>(
        std::vector<std::string>{DAEMON_PATH, "--role=companion"},
        folder_ + "/companion.log");
    RunUntil([&] { return Ask() == kNotFound; }, kTimeout);
  }
  ~CompanionProcess() { std::filesystem::remove_all(folder_); }
  CompanionProcess(const CompanionProcess&) = delete;
  CompanionProcess& operator=(const CompanionProcess&) = delete;

  std::string address() const { return common::StrCat("127.0.0.1:", port_); }
  void RunUntil(const std::function<bool()>& condition,
                common::Duration timeout) {
    const common::Time end = loop_.Now() + timeout;
    while (!condition() && loop_.Now() < end) {
      loop_.RunAfter(kPollPeriod, [this] { loop_.Stop(); });
      loop_.Run();
    }
  }
  // Status of the answer to a call of a path that does not exist; 0 without
  // one.
  int Ask() {
    std::optional<http_channel::CallResult> result;
    caller_.Start(
        address(), {.method = "GET", .target = "/none"}, kTimeout,
        [&](http_channel::CallResult answer) { result = std::move(answer); });
    RunUntil([&] { return result.has_value(); }, 2 * kTimeout);
    return result.has_value() && result->ok() ? (*result)->status : 0;
  }

  void ExpectWithinLimits() {
    EXPECT_FALSE(process_->WaitForExit(common::Duration::zero()).has_value());
    std::cout << "peak: "
              << PeakResidentBytes(process_->pid()) / kBytesPerMegabyte
              << " MB\n";
    EXPECT_LE(PeakResidentBytes(process_->pid()),
              kMemoryMegabytes * kBytesPerMegabyte);
  }

 private:
  event_loop::EventLoop& loop_;
  hosted_world::FakeStore store_;
  http_channel::EndpointPool pool_;
  http_channel::HttpCaller caller_;
  uint16_t port_ = 0;
  std::string folder_;
  std::unique_ptr<e2e::ChildProcess> process_;
};

class CompanionCrowdTest : public testing::TestWithParam<CrowdCase> {};

// Guards against clients that take a companion over the memory of its machine.
TEST_P(CompanionCrowdTest, StaysWithinItsMemoryAndAnswers) {
  event_loop::EventLoop loop;
  CompanionProcess companion(loop, "127.0.0.1:1");
  const std::vector<Transmission> sent = {
      TransmissionOf(GetParam().shape, {.headers = "Host: h\r\n",
                                        .path = "/none",
                                        .max_body_bytes = kMaxBodyBytes})};
  {
    const ClientCrowd crowd(loop, companion.address(), kClients, sent);
    companion.RunUntil([&] { return crowd.sent(); }, kMaxSendTime);
    EXPECT_EQ(companion.Ask(), kNotFound) << "beside the open crowd";
  }
  EXPECT_EQ(companion.Ask(), kNotFound) << "after the crowd";
  companion.ExpectWithinLimits();
}

INSTANTIATE_TEST_SUITE_P(
    Crowds,
    CompanionCrowdTest,
    testing::Values(CrowdCase{"OneByteShort", Shape::kOneByteShort},
                    CrowdCase{"LargeChunks", Shape::kLargeChunks}),
    [](const auto& info) { return std::string(info.param.name); });

struct FloodCase {
  const char* name;
  Flood flood;
};

std::ostream& operator<<(std::ostream& out, const FloodCase& param) {
  return out << param.name;
}

class CompanionFloodTest : public testing::TestWithParam<FloodCase> {};

// Guards against an engine that takes its companion over the memory of its
// machine: each poll of a coordinator makes the companion read it three times.
TEST_P(CompanionFloodTest, StaysWithinItsMemoryAndAnswers) {
  event_loop::EventLoop loop;
  const EndlessServer engine(loop, GetParam().flood, "none");
  CompanionProcess companion(loop, engine.address());
  const std::string poll = companion_messages::EncodePoll(
      {.generation = 1, .want_choices = true, .want_map = true});
  const std::vector<Transmission> polls = {{
      .prefix = common::StrCat("POST ", companion_messages::kPollPath,
                               " HTTP/1.1\r\nHost: h\r\nContent-Length: ",
                               poll.size(), "\r\n\r\n", poll),
  }};
  for (int i = 0; i < kRounds; ++i) {
    const ClientCrowd crowd(loop, companion.address(), kClients, polls);
    companion.RunUntil([] { return false; }, kRoundTime);
  }
  EXPECT_EQ(companion.Ask(), kNotFound);
  EXPECT_GT(engine.requests(), 0U);
  companion.ExpectWithinLimits();
}

INSTANTIATE_TEST_SUITE_P(
    Floods,
    CompanionFloodTest,
    testing::Values(FloodCase{"Body", Flood::kBody},
                    FloodCase{"ChunkLine", Flood::kChunkLine},
                    FloodCase{"Fields", Flood::kFields},
                    FloodCase{"InterimResponses", Flood::kInterimResponses}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace wagtailshore::crowd
