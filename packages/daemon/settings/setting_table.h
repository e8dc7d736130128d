#ifndef DAEMON_SETTINGS_SETTING_TABLE_H_
#define DAEMON_SETTINGS_SETTING_TABLE_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "common/enum_names.h"

namespace wagtailshore::settings {

enum class SettingType {
  kText,
  // "IP:port"
  kAddress,
  // Comma-separated addresses.
  kAddressList,
  // "http://IP:port"
  kUrl,
  kNumber,
  // One of kRoleNames.
  kRole,
};

inline constexpr common::EnumNames<SettingType, 6> kSettingTypeNames = {{
    {SettingType::kText, "text"},
    {SettingType::kAddress, "address"},
    {SettingType::kAddressList, "addresses"},
    {SettingType::kUrl, "URL"},
    {SettingType::kNumber, "number"},
    {SettingType::kRole, "role"},
}};

// The roles that require a setting. The hosted roles require none of those that
// are kEntryAndEndpoint.
enum class RequiredBy { kNone, kEntryAndEndpoint, kEntry, kEndpoint };

// One setting of the daemon. The help text, the validation and docs/SETTINGS.md
// are generated from these.
struct SettingSpec {
  // The flag's name without its dashes.
  std::string_view name;
  SettingType type = SettingType::kText;
  // Unit of a kNumber; empty for other types.
  std::string_view unit;
  // Allowed range of a kNumber, inclusive.
  int64_t min = 0;
  int64_t max = 0;
  std::string_view default_value;
  RequiredBy required_by = RequiredBy::kNone;
  std::string_view help;
  // Never printed.
  bool secret = false;
};

// Every setting of the daemon.
std::span<const SettingSpec> SettingTable();

// Returns the name of the environment variable that can be set instead of the
// flag.
std::string EnvironmentName(const SettingSpec& spec);

}  // namespace wagtailshore::settings

#endif  // DAEMON_SETTINGS_SETTING_TABLE_H_
