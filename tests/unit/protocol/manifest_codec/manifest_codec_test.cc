#include "protocol/manifest_codec/manifest_codec.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <ostream>

#include "common/digest.h"
#include "state/manifest/customer_index.h"

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

// A manifest in which single items stand in place of their lists, and whole
// numbers have a fraction.
TEST(ManifestCodecTest, EveryWritingOfAValueIsRead) {
  nlohmann::json text = nlohmann::json::parse(kValidManifest);
  text.erase("endpoints");
  const auto expected = Parse(text.dump());
  ASSERT_TRUE(std::holds_alternative<manifest::Manifest>(expected));
  text["groups"][0]["ranks"] = 2.0;
  text["services"][0]["non_idempotent_calls"] = "print";
  for (const char* list : {"groups", "services", "customers"}) {
    const nlohmann::json item = text[list][0];
    text[list] = item;
  }
  const auto found = Parse(text.dump());
  ASSERT_TRUE(std::holds_alternative<manifest::Manifest>(found))
      << common::FormatFindings(std::get<common::Findings>(found));
  EXPECT_EQ(std::get<manifest::Manifest>(found),
            std::get<manifest::Manifest>(expected));
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

// A field of a manifest, by its JSON pointer, and a value that is not the
// field's.
struct FieldCase {
  const char* name;
  const char* pointer;
  nlohmann::json value;
};

std::ostream& operator<<(std::ostream& out, const FieldCase& param) {
  return out << param.name;
}

class BadFieldTest : public testing::TestWithParam<FieldCase> {};

// Guards against a field that decides who may pass and counts as absent because
// it cannot be read.
TEST_P(BadFieldTest, IsAFinding) {
  nlohmann::json text = nlohmann::json::parse(kValidManifest);
  text[nlohmann::json::json_pointer(GetParam().pointer)] = GetParam().value;
  const auto parsed = Parse(text.dump());
  const auto* findings = std::get_if<common::Findings>(&parsed);
  ASSERT_NE(findings, nullptr);
  EXPECT_EQ(findings->front().place, GetParam().pointer);
}

INSTANTIATE_TEST_SUITE_P(
    Fields,
    BadFieldTest,
    testing::Values(
        FieldCase{"CustomersNull", "/customers", nullptr},
        FieldCase{"CustomersByName", "/customers", nlohmann::json::object()},
        FieldCase{"CustomersText", "/customers", ""},
        FieldCase{"CustomersFalse", "/customers", false},
        FieldCase{"CustomerNull", "/customers/0", nullptr},
        FieldCase{"KeyNull", "/customers/0/key_sha256", nullptr},
        FieldCase{"KeyEmpty", "/customers/0/key_sha256", ""},
        FieldCase{"KeyList", "/customers/0/key_sha256",
                  nlohmann::json::array()},
        FieldCase{
            "HashOfAnEmptyKey", "/customers/0/key_sha256",
            "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"},
        FieldCase{"NewCustomerNull", "/customers/0/new_customer", nullptr},
        FieldCase{"NewCustomerText", "/customers/0/new_customer", "true"},
        FieldCase{"LimitNull", "/customers/0/requests_per_second", nullptr},
        FieldCase{"PriorityNull", "/customers/0/priority", nullptr},
        FieldCase{"PhaseNull", "/phase", nullptr},
        FieldCase{"CallsNull", "/services/0/non_idempotent_calls", nullptr}),
    [](const auto& info) { return std::string(info.param.name); });

class NoCustomersTest : public testing::TestWithParam<const char*> {};

// Unlike with a hosting platform, no manifest opens the system to all.
TEST_P(NoCustomersTest, AdmitNobody) {
  const auto parsed = Parse(GetParam());
  const auto* manifest = std::get_if<manifest::Manifest>(&parsed);
  ASSERT_NE(manifest, nullptr);
  EXPECT_EQ(manifest::CustomerIndex(*manifest).Find(*manifest, ""), nullptr);
  EXPECT_EQ(
      manifest::CustomerIndex(*manifest).Find(*manifest, common::Sha256Hex("")),
      nullptr);
}

INSTANTIATE_TEST_SUITE_P(Texts,
                         NoCustomersTest,
                         testing::Values("{}", R"({"customers":[]})"));

TEST(ManifestCodecTest, TextThatIsNotJsonIsAFinding) {
  const auto parsed = Parse("{");
  EXPECT_TRUE(std::holds_alternative<common::Findings>(parsed));
}

}  // namespace
}  // namespace wagtailshore::manifest_codec
