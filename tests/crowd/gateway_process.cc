#include "crowd/gateway_process.h"

#include <stdlib.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

#include "common/invariant.h"
#include "common/strings.h"
#include "crowd/process_usage.h"

namespace wagtailshore::crowd {
namespace {

using hosted_world::Received;
using hosted_world::Reply;
using nlohmann::json;

constexpr size_t kLargeAnswerBytes = size_t{256} << 10;
// Large bodies are answered late, so that many are open at once.
constexpr size_t kLargeBodyBytes = size_t{64} << 10;
constexpr common::Duration kLargeBodyDelay = common::seconds(1);
constexpr common::Duration kStartTimeout = common::seconds(20);
constexpr common::Duration kAnswerTimeout = common::seconds(20);
constexpr common::Duration kSamplePeriod = common::milliseconds(10);

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

Reply Answer(const Received& request) {
  const bool large = request.head.target == "/safe/large";
  Reply reply = hosted_world::Plain(
      request, kOk, large ? std::string(kLargeAnswerBytes, 'y') : "ok");
  if (request.body.size() > kLargeBodyBytes) {
    reply.delay = kLargeBodyDelay;
  }
  return reply;
}

}  // namespace

std::string RequestHeaders(const std::string& id) {
  return common::StrCat("Host: h.example\r\nX-Wagtailshore-Attempt-Id: ", id,
                        "\r\nX-Wagtailshore-Deadline-Ms: 8000\r\n"
                        "Authorization: Token key\r\n");
}

GatewayProcess::GatewayProcess(event_loop::EventLoop& loop,
                               const ProcessLimits& limits,
                               const Prepare& prepare)
    : limits_(limits),
      loop_(loop),
      store_(loop_),
      endpoint_(loop_, [](const Received& request) { return Answer(request); }),
      pool_(loop_, {.silence_timeout = kAnswerTimeout}) {
  json configuration = hosted_world::HostedWorld::Configuration(1);
  configuration["limits"] = {{"max_header_bytes", 16384},
                             {"max_body_bytes", kMaxBodyBytes},
                             {"header_timeout_ms", 30000},
                             {"idle_timeout_ms", 30000}};
  if (prepare) {
    prepare(store_, configuration);
  }
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

GatewayProcess::~GatewayProcess() {
  std::filesystem::remove_all(folder_);
}

std::string GatewayProcess::address() const {
  return common::StrCat("127.0.0.1:", port_);
}

bool GatewayProcess::RunUntil(const std::function<bool()>& condition,
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

int GatewayProcess::Ask(const std::string& body) {
  OneRequest request;
  const std::string bytes = common::StrCat(
      "POST /safe/x HTTP/1.1\r\n",
      RequestHeaders(common::StrCat("a", ++asked_)),
      "Connection: close\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
  pool_.Open("gateway", address()).Send(bytes, request, /*without_body=*/false);
  RunUntil([&] { return request.ended(); }, kAnswerTimeout);
  WS_INVARIANT(request.ended()) << "each request ends in time";
  return request.status();
}

bool GatewayProcess::alive() {
  return !process_->WaitForExit(common::Duration::zero()).has_value();
}

size_t GatewayProcess::peak_resident_bytes() const {
  return PeakResidentBytes(process_->pid());
}

void GatewayProcess::Start() {
  std::string folder = "/tmp/wagtailshore-crowd-XXXXXX";
  WS_INVARIANT(mkdtemp(folder.data()) != nullptr) << "a folder is created";
  folder_ = folder;
  const std::string settings = folder_ + "/settings.json";
  std::ofstream(settings) << json{
      {"node_name", "gateway"},
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

void GatewayProcess::Sample() {
  if (process_ == nullptr) {
    return;
  }
  peak_held_bytes_ = std::max(
      peak_held_bytes_, ResidentBytes(process_->pid()) + UnreadBytes(port_));
  peak_descriptors_ =
      std::max(peak_descriptors_, OpenDescriptors(process_->pid()));
}

}  // namespace wagtailshore::crowd
