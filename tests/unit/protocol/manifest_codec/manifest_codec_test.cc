#include "protocol/manifest_codec/manifest_codec.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace wagtailshore::manifest_codec {
namespace {

constexpr char kValidManifest[] = R"({
  "groups": [{"name": "g", "model": "m", "ranks": 2, "experts": 4,
              "slots_per_rank": 3}],
  "services": [{"name": "s", "non_idempotent_calls": ["print"]}],
  "customers": [{"name": "c", "key_sha256":
    "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef",
    "priority": "high"}],
  "endpoints": [
    {"name": "e0", "failure_domain": "d", "traffic_address": "127.0.0.1:1",
     "peer_address": "127.0.0.1:2", "group": "g", "rank": 0},
    {"name": "p0", "failure_domain": "d", "traffic_address": "127.0.0.1:3",
     "peer_address": "127.0.0.1:4", "service": "s"}],
  "end_date": "2027-06-30",
  "phase": "serving"
})";

TEST(ManifestCodecTest, FormatAndParseAreInverse) {
  const auto parsed = Parse(kValidManifest);
  const auto* manifest = std::get_if<manifest::Manifest>(&parsed);
  ASSERT_NE(manifest, nullptr);
  const auto again = Parse(Format(*manifest));
  ASSERT_TRUE(std::holds_alternative<manifest::Manifest>(again));
  EXPECT_EQ(std::get<manifest::Manifest>(again), *manifest);
}

TEST(ManifestCodecTest, ReportsFiveFaultsWithTheirPlaces) {
  const auto parsed = Parse(R"({
    "groups": [{"name": "g", "model": "m", "ranks": 0}],
    "services": [{"name": "s", "colour": "red"}],
    "customers": [{"name": "c", "key_sha256": "short", "priority": "urgent"}],
    "endpoints": [{"name": "e", "failure_domain": "d",
                   "traffic_address": "127.0.0.1:1",
                   "peer_address": "127.0.0.1:2", "service": "t"}]
  })");
  const auto* findings = std::get_if<common::Findings>(&parsed);
  ASSERT_NE(findings, nullptr);
  for (const char* place :
       {"/groups/0/ranks", "/services/0/colour", "/customers/0/key_sha256",
        "/customers/0/priority", "/endpoints/0/service"}) {
    EXPECT_TRUE(std::any_of(
        findings->begin(), findings->end(),
        [&](const common::Finding& finding) { return finding.place == place; }))
        << place;
  }
}

TEST(ManifestCodecTest, TextThatIsNotJsonIsAFinding) {
  const auto parsed = Parse("{");
  EXPECT_TRUE(std::holds_alternative<common::Findings>(parsed));
}

}  // namespace
}  // namespace wagtailshore::manifest_codec
