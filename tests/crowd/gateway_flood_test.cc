#include <gtest/gtest.h>

#include <iostream>
#include <nlohmann/json.hpp>

#include "common/strings.h"
#include "crowd/endless_server.h"
#include "crowd/gateway_process.h"
#include "crowd/process_usage.h"
#include "crowd/transmissions.h"

// A gateway process before servers that send bytes without end.
namespace wagtailshore::crowd {
namespace {

using nlohmann::json;

constexpr int kServers = 3;
constexpr int kCallers = 60;
constexpr const char* kId = "crowd";
// Ends the wait for callers of which the gateway reads no more.
constexpr common::Duration kMaxSendTime = common::seconds(8);
constexpr common::Duration kFloodTime = common::seconds(2);

struct FloodCase {
  const char* name;
  Flood flood;
  // Path of the requests that reach the servers.
  const char* path = "/flood/x";
};

std::ostream& operator<<(std::ostream& out, const FloodCase& param) {
  return out << param.name;
}

json FloodRoute(const char* prefix, const char* kind) {
  return {{"name", prefix},       {"host", "h.example"}, {"prefix", prefix},
          {"route_kind", kind},   {"service", "f"},      {"max_attempts", 2},
          {"stream_resume", true}};
}

class GatewayFloodTest : public testing::TestWithParam<FloodCase> {};

// Guards against servers that take a gateway over the memory of its machine, or
// keep it from serving the clients of others.
TEST_P(GatewayFloodTest, StaysWithinItsMemoryAndServesOthers) {
  const FloodCase& param = GetParam();
  event_loop::EventLoop loop;
  std::vector<std::unique_ptr<EndlessServer>> servers;
  servers.reserve(kServers);
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(std::make_unique<EndlessServer>(loop, param.flood, kId));
  }
  GatewayProcess gateway(
      loop, {}, [&](hosted_world::FakeStore& store, json& configuration) {
        configuration["routes"].push_back(FloodRoute("/flood/", "safe"));
        configuration["routes"].push_back(
            FloodRoute("/flood-stream/", "streaming"));
        configuration["services"].push_back({{"name", "f"}});
        for (int i = 0; i < kServers; ++i) {
          json entry =
              hosted_world::HostedWorld::EndpointEntry(servers[i]->address());
          entry["service"] = "f";
          entry["slots"] = 1000;
          store.SetEndpoint(common::StrCat("f", i), entry);
        }
      });
  const std::vector<Transmission> requests = {{
      .prefix =
          common::StrCat("POST ", param.path, " HTTP/1.1\r\n",
                         RequestHeaders(kId), "Content-Length: 5\r\n\r\nhello"),
  }};
  {
    const ClientCrowd callers(loop, gateway.address(), kCallers, requests);
    gateway.RunUntil([&] { return callers.sent(); }, kMaxSendTime);
    gateway.RunUntil([] { return false; }, kFloodTime);
    EXPECT_EQ(gateway.Ask("hello"), kOk) << "beside the flood";
  }
  EXPECT_EQ(gateway.Ask("hello"), kOk) << "after the flood";
  EXPECT_TRUE(gateway.alive());
  size_t flooded = 0;
  for (const auto& server : servers) {
    flooded += server->requests();
  }
  EXPECT_GT(flooded, 0U);
  std::cout << "peak: " << gateway.peak_resident_bytes() / kBytesPerMegabyte
            << " MB, " << gateway.peak_descriptors() << " descriptors, "
            << flooded << " requests at the servers\n";
  EXPECT_LE(gateway.peak_resident_bytes(),
            kMemoryMegabytes * kBytesPerMegabyte);
  EXPECT_LE(gateway.peak_descriptors(), kMaxDescriptors);
}

constexpr const char* kStream = "/flood-stream/x";

INSTANTIATE_TEST_SUITE_P(
    Floods,
    GatewayFloodTest,
    testing::Values(FloodCase{"Letters", Flood::kLetters},
                    FloodCase{"BlankLines", Flood::kBlankLines},
                    FloodCase{"ZeroBytes", Flood::kZeroBytes},
                    FloodCase{"StatusLine", Flood::kStatusLine},
                    FloodCase{"Field", Flood::kField},
                    FloodCase{"Fields", Flood::kFields},
                    FloodCase{"InterimResponses", Flood::kInterimResponses},
                    FloodCase{"ForeignResponse", Flood::kForeignResponse},
                    FloodCase{"ForeignResponses", Flood::kForeignResponses},
                    FloodCase{"Body", Flood::kBody},
                    FloodCase{"UnsealedBody", Flood::kUnsealedBody},
                    FloodCase{"ErrorBody", Flood::kErrorBody},
                    FloodCase{"RefusalBody", Flood::kRefusalBody},
                    FloodCase{"LongLength", Flood::kLongLength},
                    FloodCase{"ChunkLine", Flood::kChunkLine},
                    FloodCase{"ChunkSize", Flood::kChunkSize},
                    FloodCase{"ChunkExtensions", Flood::kChunkExtensions},
                    FloodCase{"TinyChunks", Flood::kTinyChunks},
                    FloodCase{"TrailerFields", Flood::kTrailerFields},
                    FloodCase{"TrailerLine", Flood::kTrailerLine},
                    FloodCase{"Event", Flood::kEvent, kStream},
                    FloodCase{"Comments", Flood::kComments, kStream},
                    FloodCase{"RepeatedEvent", Flood::kRepeatedEvent, kStream},
                    FloodCase{"BehindResponse", Flood::kBehindResponse}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace wagtailshore::crowd
