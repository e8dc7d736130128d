#include "docs/doc_pages.h"

#include <array>

#include "common/event_log.h"
#include "common/strings.h"
#include "daemon/settings/setting_table.h"

namespace wagtailshore::doc_pages {
namespace {

constexpr std::array<std::string_view, 3> kSeverityNames = {"info", "warning",
                                                            "error"};
constexpr std::array<std::string_view, 4> kNeededByNames = {
    "no", "yes", "by an entry", "by an endpoint"};

std::string RangeOf(const settings::SettingSpec& spec) {
  if (spec.type != settings::SettingType::kNumber) {
    return std::string(common::NameOf(settings::kSettingTypeNames, spec.type));
  }
  return common::StrCat(spec.min, " to ", spec.max, " ", spec.unit);
}

}  // namespace

std::string SettingsPage() {
  std::string page =
      "# Settings\n\nWritten by `build/tests/docs/write_docs docs` from the "
      "table in\n`packages/daemon/settings/setting_table.cc`; a test holds the "
      "page to it.\n\nEvery setting is a flag or an environment variable; the "
      "flag goes first. All\nfindings are reported together with their places, "
      "and nothing starts on one.\n\n| flag | variable | value | default | "
      "needed | meaning |\n| --- | --- | --- | --- | --- | --- |\n";
  for (const settings::SettingSpec& spec : settings::SettingTable()) {
    common::StrAppend(&page, "| `--", spec.name, "` | `",
                      settings::EnvironmentName(spec), "` | ", RangeOf(spec),
                      spec.secret ? ", never printed" : "", " | ",
                      spec.default_value, " | ",
                      kNeededByNames.at(static_cast<size_t>(spec.required_by)),
                      " | ", spec.help, " |\n");
  }
  return page;
}

std::string EventsPage() {
  std::string page =
      "# Events\n\nWritten by `build/tests/docs/write_docs docs` from the "
      "catalogue in\n`packages/common/event_log.cc`; a test holds the page to "
      "it.\n\n| number | severity | event | cause | action |\n| --- | --- | "
      "--- | --- | --- |\n";
  for (const common::EventSpec& spec : common::EventCatalogue()) {
    common::StrAppend(&page, "| WS-", static_cast<int>(spec.id), " | ",
                      kSeverityNames.at(static_cast<size_t>(spec.severity)),
                      " | ", spec.title, " | ", spec.cause, " | ", spec.action,
                      " |\n");
  }
  return page;
}

}  // namespace wagtailshore::doc_pages
