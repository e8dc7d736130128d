#include <gtest/gtest.h>
#include <stdlib.h>

#include <iostream>

#include "common/strings.h"
#include "crowd/process_usage.h"
#include "crowd/transmissions.h"
#include "e2e/caller.h"
#include "e2e/deployment.h"
#include "transport/event_loop/event_loop.h"
#include "transport/http_client/http_client.h"

// An entry and an endpoint of the own interface before a crowd of clients that
// nobody controls.
namespace wagtailshore::crowd {
namespace {

// The limits of the processes, lowered so that a small crowd shows what is not
// counted against them.
constexpr size_t kMemoryMegabytes = 96;
constexpr size_t kMaxBodyBytes = size_t{1} << 20;
constexpr size_t kMaxDescriptors = 400;
constexpr common::Duration kTokenTime = common::seconds(1);
constexpr common::Duration kAnswerTimeout = common::seconds(20);
constexpr common::Duration kMaxSendTime = common::seconds(8);
constexpr common::Duration kStayOpenTime = common::seconds(1);
constexpr common::Duration kSamplePeriod = common::milliseconds(10);
constexpr int kOk = 200;
constexpr const char* kPath = "/v1/models/model/generate";
constexpr const char* kBodyBegin = R"({"prompt":")";
constexpr const char* kBodyEnd = R"(","max_tokens":1})";

struct CrowdCase {
  const char* name;
  // Name of the process, and the path that its clients call.
  const char* process;
  int clients;
  std::vector<Shape> shapes;
};

std::ostream& operator<<(std::ostream& out, const CrowdCase& param) {
  return out << param.name;
}

TargetRequest TargetOf(const CrowdCase& param) {
  const bool entry = std::string_view(param.process) == "entry1";
  return {.headers = common::StrCat("Host: h.example\r\nAuthorization: Bearer ",
                                    e2e::kCustomerKey, "\r\n"),
          .path = entry ? kPath : "/generate",
          .bodiless_path = "/v1/outcomes",
          .body_begin = kBodyBegin,
          .body_end = kBodyEnd,
          .max_body_bytes = kMaxBodyBytes};
}

// Status of the answer to a request with a body of `bytes`; 0 without one.
int Ask(const std::string& entry_url, size_t bytes) {
  const std::string begin = kBodyBegin;
  const std::string end = kBodyEnd;
  const std::string body =
      begin + std::string(bytes - begin.size() - end.size(), 'x') + end;
  const auto outcome = http_client::Call(
      {.method = "POST",
       .url = entry_url + kPath,
       .headers = {{"Authorization",
                    common::StrCat("Bearer ", e2e::kCustomerKey)}},
       .body = body},
      kAnswerTimeout);
  const auto* reply = std::get_if<http_client::Reply>(&outcome);
  return reply == nullptr ? 0 : reply->status;
}

class OwnCrowdTest : public testing::TestWithParam<CrowdCase> {
 protected:
  void SetUp() override {
    http_client::InitializeLibrary();
    setenv("WAGTAILSHORE_MEMORY", common::StrCat(kMemoryMegabytes).c_str(), 1);
    setenv("WAGTAILSHORE_MAX_DESCRIPTORS",
           common::StrCat(kMaxDescriptors).c_str(), 1);
    // Endpoints keep their default, as they get a body together with the
    // attempt's fields.
    deployment_ = std::make_unique<e2e::Deployment>(e2e::DeploymentOptions{
        .token_time = kTokenTime,
        .progress_timeout = 5 * kTokenTime,
        .entry_flags = {common::StrCat("--max-body=", kMaxBodyBytes)}});
    const absl::Status started = deployment_->Start();
    ASSERT_TRUE(started.ok()) << started;
  }

  // Runs the crowd's loop until `condition` holds, for `timeout` at most, and
  // samples the process meanwhile.
  void RunUntil(event_loop::EventLoop& loop,
                const std::function<bool()>& condition,
                common::Duration timeout) {
    const pid_t process = deployment_->Find(GetParam().process)->pid();
    const common::Time end = loop.Now() + timeout;
    while (!condition() && loop.Now() < end) {
      loop.RunAfter(kSamplePeriod, [&loop] { loop.Stop(); });
      loop.Run();
      peak_descriptors_ = std::max(peak_descriptors_, OpenDescriptors(process));
    }
  }

  std::unique_ptr<e2e::Deployment> deployment_;
  size_t peak_descriptors_ = 0;
};

// Guards against clients that take an entry or an endpoint over the memory or
// the descriptors of its machine, or keep it from serving others.
TEST_P(OwnCrowdTest, StaysWithinItsLimitsAndServes) {
  const CrowdCase& param = GetParam();
  const std::string entry = deployment_->CallerUrl("entry1");
  ASSERT_EQ(Ask(entry, 100), kOk);
  std::vector<Transmission> transmissions;
  for (const Shape shape : param.shapes) {
    transmissions.push_back(TransmissionOf(shape, TargetOf(param)));
  }
  event_loop::EventLoop loop;
  {
    const ClientCrowd crowd(loop, deployment_->TrafficAddress(param.process),
                            param.clients, transmissions);
    RunUntil(
        loop, [&] { return crowd.sent(); }, kMaxSendTime);
    EXPECT_EQ(Ask(entry, 100), kOk) << "beside the open crowd";
    RunUntil(
        loop, [] { return false; }, kStayOpenTime);
  }
  EXPECT_EQ(Ask(entry, 100), kOk) << "after the crowd";
  EXPECT_EQ(Ask(entry, kMaxBodyBytes), kOk)
      << "a largest request after the crowd";
  e2e::ChildProcess& process = *deployment_->Find(param.process);
  EXPECT_FALSE(process.WaitForExit(common::Duration::zero()).has_value());
  std::cout << "peak: " << PeakResidentBytes(process.pid()) / kBytesPerMegabyte
            << " MB, " << peak_descriptors_ << " descriptors\n";
  EXPECT_LE(PeakResidentBytes(process.pid()),
            kMemoryMegabytes * kBytesPerMegabyte);
  EXPECT_LE(peak_descriptors_, kMaxDescriptors);
}

INSTANTIATE_TEST_SUITE_P(
    Crowds,
    OwnCrowdTest,
    testing::Values(
        CrowdCase{"EntryWhole", "entry1", 120, {Shape::kWhole}},
        CrowdCase{"EntryOneByteShort", "entry1", 120, {Shape::kOneByteShort}},
        CrowdCase{"EntryTrickle", "entry1", 120, {Shape::kTrickle}},
        CrowdCase{"EntryLargeChunks", "entry1", 120, {Shape::kLargeChunks}},
        CrowdCase{"EntrySmallChunks", "entry1", 120, {Shape::kSmallChunks}},
        CrowdCase{"EntryChunksOverLimit",
                  "entry1",
                  120,
                  {Shape::kChunksOverLimit}},
        CrowdCase{"EntryMix",
                  "entry1",
                  120,
                  {Shape::kWhole, Shape::kOneByteShort, Shape::kLargeChunks,
                   Shape::kEndlessTrailer, Shape::kHeadShort}},
        CrowdCase{"EntryIdle", "entry1", 600, {Shape::kIdle}},
        CrowdCase{"EndpointOneByteShort",
                  "model1",
                  120,
                  {Shape::kOneByteShort}},
        CrowdCase{"EndpointIdle", "model1", 600, {Shape::kIdle}}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace wagtailshore::crowd
