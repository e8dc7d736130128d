#include "daemon/settings/settings.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "common/strings.h"
#include "daemon/settings/setting_table.h"

namespace wagtailshore::settings {
namespace {

using Overrides = std::map<std::string, std::string>;

ReadResult ReadWith(const Overrides& overrides,
                    const Overrides& environment = {}) {
  Overrides values = {{"role", "entry"},
                      {"name", "n"},
                      {"failure-domain", "d"},
                      {"caller-address", "127.0.0.1:1"},
                      {"peer-address", "127.0.0.1:2"},
                      {"admin-address", "127.0.0.1:3"},
                      {"platform-url", "http://127.0.0.1:4"}};
  for (const auto& [name, value] : overrides) {
    values[name] = value;
  }
  std::vector<std::string> arguments = {"wagtailshored"};
  for (const auto& [name, value] : values) {
    if (!value.empty()) {
      arguments.push_back(common::StrCat("--", name, "=", value));
    }
  }
  return Read(arguments, [&](const std::string& name) {
    const auto found = environment.find(name);
    return found == environment.end() ? std::nullopt
                                      : std::optional(found->second);
  });
}

bool HasFinding(const ReadResult& result, const std::string& place) {
  const auto* findings = std::get_if<common::Findings>(&result);
  return findings != nullptr &&
         std::any_of(findings->begin(), findings->end(),
                     [&](const auto& item) { return item.place == place; });
}

TEST(SettingsTest, GoodSettingsAreRead) {
  const ReadResult result = ReadWith({});
  ASSERT_TRUE(std::holds_alternative<Settings>(result));
  EXPECT_EQ(std::get<Settings>(result).exchange_period,
            common::milliseconds(500));
}

TEST(SettingsTest, FlagGoesBeforeItsVariable) {
  const ReadResult result = ReadWith(
      {{"max-body", "2048"}},
      {{"WAGTAILSHORE_MAX_BODY", "4096"}, {"WAGTAILSHORE_DRAIN_NOTICE", "7"}});
  ASSERT_TRUE(std::holds_alternative<Settings>(result));
  EXPECT_EQ(std::get<Settings>(result).max_body_bytes, 2048u);
  EXPECT_EQ(std::get<Settings>(result).drain_notice, common::milliseconds(7));
}

TEST(SettingsTest, AllFindingsAreReportedWithTheirPlaces) {
  const ReadResult result =
      ReadWith({{"name", ""}, {"peer-address", "here"}, {"max-body", "1"}},
               {{"WAGTAILSHORE_DRAIN_NOTICE", "soon"},
                {"WAGTAILSHORE_SEEDS", "127.0.0.1:1,x"}});
  for (const char* place :
       {"--name", "--peer-address", "--max-body", "WAGTAILSHORE_DRAIN_NOTICE",
        "WAGTAILSHORE_SEEDS"}) {
    EXPECT_TRUE(HasFinding(result, place)) << place;
  }
}

TEST(SettingsTest, AdminAddressBeyondLoopbackNeedsAToken) {
  EXPECT_TRUE(HasFinding(ReadWith({{"admin-address", "10.0.0.1:3"}}),
                         "--admin-address"));
  EXPECT_TRUE(std::holds_alternative<Settings>(
      ReadWith({{"admin-address", "10.0.0.1:3"}},
               {{"WAGTAILSHORE_ADMIN_TOKEN", "secret"}})));
}

struct BadValue {
  std::string name;
  std::string value;
};

// Returns invalid values for every setting whose values are restricted.
std::vector<BadValue> BadValues() {
  std::vector<BadValue> bad;
  for (const SettingSpec& spec : SettingTable()) {
    const std::string name(spec.name);
    switch (spec.type) {
      case SettingType::kText:
        break;
      case SettingType::kAddress:
      case SettingType::kAddressList:
        bad.push_back({name, "127.0.0.1"});
        bad.push_back({name, "127.0.0.1:65536"});
        break;
      case SettingType::kUrl:
        bad.push_back({name, "127.0.0.1:1"});
        break;
      case SettingType::kNumber:
        bad.push_back({name, std::to_string(spec.min - 1)});
        bad.push_back({name, std::to_string(spec.max + 1)});
        bad.push_back({name, "1.5"});
        break;
      case SettingType::kRole:
        bad.push_back({name, "relay"});
        break;
    }
  }
  return bad;
}

class BadSettingTest : public testing::TestWithParam<BadValue> {};

TEST_P(BadSettingTest, IsRefusedWithItsPlace) {
  EXPECT_TRUE(HasFinding(ReadWith({{GetParam().name, GetParam().value}}),
                         common::StrCat("--", GetParam().name)));
}

INSTANTIATE_TEST_SUITE_P(All, BadSettingTest, testing::ValuesIn(BadValues()));

}  // namespace
}  // namespace wagtailshore::settings
