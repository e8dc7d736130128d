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

struct CrowdCase {
  const char* name;
  Shape shape;
};

std::ostream& operator<<(std::ostream& out, const CrowdCase& param) {
  return out << param.name;
}

class CompanionCrowdTest : public testing::TestWithParam<CrowdCase> {
 protected:
  CompanionCrowdTest()
      : store_(loop_), pool_(loop_, {}), caller_(loop_, pool_) {
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
                {"app", "127.0.0.1:1"},
                {"service", "s"},
                {"internal_port_range", {port_, port_}},
                {"limits", {{"memory_mb", kMemoryMegabytes}, {"max_fds", 400}}},
                {"platform", {{"address", store_.address()}}}};
    setenv("WAGTAILSHORE_SETTINGS", settings.c_str(), 1);
    process_ = std::make_unique<e2e::ChildProcess>(
        std::vector<std::string>{DAEMON_PATH, "--role=companion"},
        folder_ + "/companion.log");
  }
  ~CompanionCrowdTest() override { std::filesystem::remove_all(folder_); }

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

  event_loop::EventLoop loop_;
  hosted_world::FakeStore store_;
  http_channel::EndpointPool pool_;
  http_channel::HttpCaller caller_;
  uint16_t port_ = 0;
  std::string folder_;
  std::unique_ptr<e2e::ChildProcess> process_;
};

// Guards against clients that take a companion over the memory of its machine.
TEST_P(CompanionCrowdTest, StaysWithinItsMemoryAndAnswers) {
  RunUntil([&] { return Ask() == kNotFound; }, kTimeout);
  const std::vector<Transmission> sent = {
      TransmissionOf(GetParam().shape, {.headers = "Host: h\r\n",
                                        .path = "/none",
                                        .max_body_bytes = kMaxBodyBytes})};
  {
    const ClientCrowd crowd(loop_, address(), kClients, sent);
    RunUntil([&] { return crowd.sent(); }, kMaxSendTime);
    EXPECT_EQ(Ask(), kNotFound) << "beside the open crowd";
  }
  EXPECT_EQ(Ask(), kNotFound) << "after the crowd";
  EXPECT_FALSE(process_->WaitForExit(common::Duration::zero()).has_value());
  std::cout << "peak: "
            << PeakResidentBytes(process_->pid()) / kBytesPerMegabyte
            << " MB\n";
  EXPECT_LE(PeakResidentBytes(process_->pid()),
            kMemoryMegabytes * kBytesPerMegabyte);
}

INSTANTIATE_TEST_SUITE_P(
    Crowds,
    CompanionCrowdTest,
    testing::Values(CrowdCase{"OneByteShort", Shape::kOneByteShort},
                    CrowdCase{"LargeChunks", Shape::kLargeChunks}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace wagtailshore::crowd
