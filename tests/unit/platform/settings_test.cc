#include "platform/settings.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <ostream>

namespace wagtailshore::platform {
namespace {

using nlohmann::json;

json ValidSettings() {
  return {{"node_name", "n"},
          {"zone", "z"},
          {"ip", "127.0.0.1"},
          {"internal_port_range", {7340, 7355}},
          {"data_dir", nullptr},
          {"limits", {{"memory_mb", 260}, {"max_fds", 4200}}},
          {"bounds", {{"revoke_ms", 4000}, {"grace_s", 8}}},
          {"platform", {{"address", "127.0.0.1:1"}}}};
}

TEST(SettingsTest, FieldsAreDecoded) {
  const SettingsResult result = DecodeSettings(ValidSettings().dump());
  const auto* settings = std::get_if<serving::HostedSettings>(&result);
  ASSERT_NE(settings, nullptr);
  EXPECT_EQ(settings->peer_port, 7340);
  EXPECT_EQ(settings->memory_bytes, size_t{260} << 20);
  EXPECT_EQ(settings->max_sockets, 4000U);
  EXPECT_EQ(settings->revocation_bound, common::seconds(4));
  EXPECT_EQ(settings->stop_grace, common::seconds(8));
}

// Guards against a process that does not start for the way in which a setting
// is written.
TEST(SettingsTest, OtherWritingsOfAValueAreRead) {
  json text = ValidSettings();
  text["internal_port_range"] = 7340.0;
  text["limits"]["max_fds"] = 4200.0;
  const SettingsResult result = DecodeSettings(text.dump());
  const auto* settings = std::get_if<serving::HostedSettings>(&result);
  ASSERT_NE(settings, nullptr);
  EXPECT_EQ(settings->peer_port, 7340);
  EXPECT_EQ(settings->max_sockets, 4000U);
}

TEST(SettingsTest, AbsentFieldsHaveDefaults) {
  json text = ValidSettings();
  for (const char* field : {"internal_port_range", "limits", "bounds"}) {
    text.erase(field);
  }
  const SettingsResult result = DecodeSettings(text.dump());
  const auto* settings = std::get_if<serving::HostedSettings>(&result);
  ASSERT_NE(settings, nullptr);
  EXPECT_EQ(settings->revocation_bound,
            serving::HostedSettings{}.revocation_bound);
}

struct FieldCase {
  const char* name;
  const char* pointer;
  json value;
};

std::ostream& operator<<(std::ostream& out, const FieldCase& param) {
  return out << param.name;
}

class BadFieldTest : public testing::TestWithParam<FieldCase> {};

// Guards against a bound or a limit that cannot be read and silently gets its
// default.
TEST_P(BadFieldTest, IsAFinding) {
  json text = ValidSettings();
  text[json::json_pointer(GetParam().pointer)] = GetParam().value;
  const SettingsResult result = DecodeSettings(text.dump());
  const auto* findings = std::get_if<common::Findings>(&result);
  ASSERT_NE(findings, nullptr);
  EXPECT_TRUE(std::any_of(findings->begin(), findings->end(),
                          [](const common::Finding& finding) {
                            return finding.place == GetParam().pointer;
                          }))
      << common::FormatFindings(*findings);
}

INSTANTIATE_TEST_SUITE_P(
    Fields,
    BadFieldTest,
    testing::Values(FieldCase{"NameEmpty", "/node_name", ""},
                    FieldCase{"NameNull", "/node_name", nullptr},
                    FieldCase{"StoreNull", "/platform", nullptr},
                    FieldCase{"BoundsNull", "/bounds", nullptr},
                    FieldCase{"RevocationNull", "/bounds/revoke_ms", nullptr},
                    FieldCase{"RevocationText", "/bounds/revoke_ms", "4000"},
                    FieldCase{"RevocationNegative", "/bounds/revoke_ms", -1},
                    FieldCase{"GraceText", "/bounds/grace_s", "8"},
                    FieldCase{"MemoryText", "/limits/memory_mb", "260"},
                    FieldCase{"MemoryNegative", "/limits/memory_mb", -260},
                    FieldCase{"PortBeyondAll", "/internal_port_range/0", 70000},
                    FieldCase{"PortsText", "/internal_port_range", "7340"}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace wagtailshore::platform
