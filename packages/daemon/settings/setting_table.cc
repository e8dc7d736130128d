#include "daemon/settings/setting_table.h"

#include <algorithm>
#include <array>

#include "absl/strings/ascii.h"
#include "common/strings.h"

namespace wagtailshore::settings {
namespace {

constexpr std::array kTable = {
    SettingSpec{.name = "role",
                .type = SettingType::kRole,
                .required_by = RequiredBy::kEntryAndEndpoint,
                .help = "entry serves callers; endpoint serves one engine or "
                        "service; gateway and companion are the corresponding "
                        "roles on a hosting platform and read its settings "
                        "file"},
    SettingSpec{.name = "name",
                .required_by = RequiredBy::kEntryAndEndpoint,
                .help =
                    "name of this instance; the manifest lists endpoints by "
                    "this name"},
    SettingSpec{.name = "failure-domain",
                .required_by = RequiredBy::kEntryAndEndpoint,
                .help = "failure domain that this instance is in"},
    SettingSpec{
        .name = "caller-address",
        .type = SettingType::kAddress,
        .required_by = RequiredBy::kEntry,
        .help = "address on which this entry accepts callers' requests"},
    SettingSpec{.name = "traffic-address",
                .type = SettingType::kAddress,
                .required_by = RequiredBy::kEndpoint,
                .help = "address on which this endpoint accepts attempts from "
                        "entries"},
    SettingSpec{.name = "peer-address",
                .type = SettingType::kAddress,
                .required_by = RequiredBy::kEntryAndEndpoint,
                .help =
                    "address on which this process exchanges control messages "
                    "with others"},
    SettingSpec{.name = "admin-address",
                .type = SettingType::kAddress,
                .required_by = RequiredBy::kEntryAndEndpoint,
                .help =
                    "address on which operators reach the dump, the metrics "
                    "and manifest submission"},
    SettingSpec{.name = "admin-token",
                .help = "bearer token that requests to the admin address must "
                        "carry; required when that address is not loopback",
                .secret = true},
    SettingSpec{.name = "metrics-address",
                .type = SettingType::kAddress,
                .help = "address on which a gateway or companion serves its "
                        "metrics"},
    SettingSpec{.name = "platform-url",
                .type = SettingType::kUrl,
                .required_by = RequiredBy::kEntryAndEndpoint,
                .help =
                    "URL of the platform's table, object store and instance "
                    "list"},
    SettingSpec{.name = "engine-url",
                .type = SettingType::kUrl,
                .help = "URL of this endpoint's model engine"},
    SettingSpec{.name = "service-url",
                .type = SettingType::kUrl,
                .help = "URL of this endpoint's plain service"},
    SettingSpec{.name = "seeds",
                .type = SettingType::kAddressList,
                .help =
                    "peer addresses of entries to contact while the platform "
                    "is unavailable"},
    SettingSpec{.name = "exchange-period",
                .type = SettingType::kNumber,
                .unit = "ms",
                .min = 50,
                .max = 10000,
                .default_value = "500",
                .help = "time between control exchanges with a peer"},
    SettingSpec{.name = "platform-poll-period",
                .type = SettingType::kNumber,
                .unit = "ms",
                .min = 100,
                .max = 60000,
                .default_value = "1000",
                .help = "time between polls of the platform"},
    SettingSpec{.name = "platform-timeout",
                .type = SettingType::kNumber,
                .unit = "ms",
                .min = 50,
                .max = 60000,
                .default_value = "1000",
                .help = "maximum time to wait for an answer from the platform"},
    SettingSpec{.name = "drain-notice",
                .type = SettingType::kNumber,
                .unit = "ms",
                .min = 0,
                .max = 600000,
                .default_value = "2000",
                .help =
                    "time for which an entry still accepts requests after a "
                    "stop signal, so that the load balancer in front of it "
                    "can react"},
    SettingSpec{.name = "progress-timeout",
                .type = SettingType::kNumber,
                .unit = "ms",
                .min = 100,
                .max = 600000,
                .default_value = "5000",
                .help = "maximum time to wait for a stream's next frame"},
    SettingSpec{.name = "engine-slots",
                .type = SettingType::kNumber,
                .unit = "requests",
                .min = 0,
                .max = 100000,
                .default_value = "0",
                .help =
                    "requests that the engine runs at once; more are refused "
                    "as not run while another endpoint may be free; 0 for "
                    "no limit"},
    SettingSpec{.name = "limit-entries",
                .type = SettingType::kNumber,
                .unit = "entries",
                .min = 1,
                .max = 100000,
                .default_value = "8",
                .help =
                    "number of entries in the whole system; each enforces an "
                    "equal share of every customer's rate limit"},
    SettingSpec{.name = "max-connections",
                .type = SettingType::kNumber,
                .unit = "requests",
                .min = 1,
                .max = 100000,
                .default_value = "512",
                .help = "maximum number of requests at once; more are refused"},
    SettingSpec{.name = "max-body",
                .type = SettingType::kNumber,
                .unit = "bytes",
                .min = 1024,
                .max = 1 << 30,
                .default_value = "4194304",
                .help = "maximum size of a request body"},
    SettingSpec{.name = "memory",
                .type = SettingType::kNumber,
                .unit = "MB",
                .min = 0,
                .max = 1 << 20,
                .default_value = "0",
                .help =
                    "memory that this process may take; clients that find no "
                    "room in it are refused; 0 for that of the machine"},
    SettingSpec{.name = "max-descriptors",
                .type = SettingType::kNumber,
                .unit = "descriptors",
                .min = 0,
                .max = 1 << 20,
                .default_value = "0",
                .help =
                    "descriptors that this process may have open; connections "
                    "that wait longest are closed for new ones; 0 for the "
                    "limit of the process"},
};

}  // namespace

std::span<const SettingSpec> SettingTable() {
  return kTable;
}

std::string EnvironmentName(const SettingSpec& spec) {
  std::string name =
      "WAGTAILSHORE_" + absl::AsciiStrToUpper(common::AsAbsl(spec.name));
  std::replace(name.begin(), name.end(), '-', '_');
  return name;
}

}  // namespace wagtailshore::settings
