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

// Which roles need a setting; the others ignore it. kBoth does not include the
// hosted roles.
enum class NeededBy { kNone, kBoth, kEntry, kEndpoint };

// One setting of the daemon. The help page, the check and docs/SETTINGS.md all
// come from these.
struct SettingSpec {
  // The flag without its dashes.
  std::string_view name;
  SettingType type = SettingType::kText;
  // Empty for settings without one.
  std::string_view unit;
  // Range of a kNumber.
  int64_t min = 0;
  int64_t max = 0;
  std::string_view default_value;
  NeededBy needed_by = NeededBy::kNone;
  std::string_view help;
  // Never printed.
  bool secret = false;
};

// Every setting of the daemon.
std::span<const SettingSpec> SettingTable();

// The environment variable that stands in for the flag.
std::string EnvironmentName(const SettingSpec& spec);

}  // namespace wagtailshore::settings

#endif  // DAEMON_SETTINGS_SETTING_TABLE_H_
