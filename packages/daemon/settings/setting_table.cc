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
                .needed_by = NeededBy::kBoth,
                .help = "entry serves callers; endpoint sits beside one engine "
                        "or service; gateway and companion are the same two on "
                        "a hosting platform and read its settings file"},
    SettingSpec{.name = "name",
                .needed_by = NeededBy::kBoth,
                .help = "name of this instance; an endpoint's stands in the "
                        "manifest"},
    SettingSpec{.name = "failure-domain",
                .needed_by = NeededBy::kBoth,
                .help = "failure domain that this instance is in"},
    SettingSpec{.name = "caller-address",
                .type = SettingType::kAddress,
                .needed_by = NeededBy::kEntry,
                .help = "where callers reach this entry"},
    SettingSpec{.name = "traffic-address",
                .type = SettingType::kAddress,
                .needed_by = NeededBy::kEndpoint,
                .help = "where entries send attempts to this endpoint"},
    SettingSpec{.name = "peer-address",
                .type = SettingType::kAddress,
                .needed_by = NeededBy::kBoth,
                .help = "where other processes exchange control messages"},
    SettingSpec{.name = "admin-address",
                .type = SettingType::kAddress,
                .needed_by = NeededBy::kBoth,
                .help = "where operators reach dump, metrics and submission"},
    SettingSpec{.name = "admin-token",
                .help = "what operators must send to the admin address as a "
                        "bearer token; needed when that is not loopback",
                .secret = true},
    SettingSpec{.name = "metrics-address",
                .type = SettingType::kAddress,
                .help = "where a gateway or companion serves its metrics"},
    SettingSpec{.name = "platform-url",
                .type = SettingType::kUrl,
                .needed_by = NeededBy::kBoth,
                .help = "the platform's table, objects and instance list"},
    SettingSpec{.name = "engine-url",
                .type = SettingType::kUrl,
                .help = "the model engine beside this endpoint"},
    SettingSpec{.name = "service-url",
                .type = SettingType::kUrl,
                .help = "the plain service beside this endpoint"},
    SettingSpec{.name = "seeds",
                .type = SettingType::kAddressList,
                .help = "peer addresses of entries to ask while the platform "
                        "is away"},
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
                .help = "time between looks at the platform"},
    SettingSpec{.name = "platform-timeout",
                .type = SettingType::kNumber,
                .unit = "ms",
                .min = 50,
                .max = 60000,
                .default_value = "1000",
                .help = "longest wait for an answer of the platform"},
    SettingSpec{.name = "drain-notice",
                .type = SettingType::kNumber,
                .unit = "ms",
                .min = 0,
                .max = 600000,
                .default_value = "2000",
                .help = "time an entry still takes requests after a stop "
                        "signal, for the balancer to notice"},
    SettingSpec{.name = "progress-timeout",
                .type = SettingType::kNumber,
                .unit = "ms",
                .min = 100,
                .max = 600000,
                .default_value = "5000",
                .help = "longest wait for a stream's next frame"},
    SettingSpec{.name = "engine-slots",
                .type = SettingType::kNumber,
                .unit = "requests",
                .min = 0,
                .max = 100000,
                .default_value = "0",
                .help = "requests that the engine works on at once; further "
                        "ones are refused as not run while another endpoint "
                        "may be free; 0 for no bound"},
    SettingSpec{.name = "limit-entries",
                .type = SettingType::kNumber,
                .unit = "entries",
                .min = 1,
                .max = 100000,
                .default_value = "8",
                .help = "entries of the whole system, which share each "
                        "customer's limit equally"},
    SettingSpec{.name = "max-connections",
                .type = SettingType::kNumber,
                .unit = "requests",
                .min = 1,
                .max = 100000,
                .default_value = "512",
                .help = "requests at once; more are refused"},
    SettingSpec{.name = "max-body",
                .type = SettingType::kNumber,
                .unit = "bytes",
                .min = 1024,
                .max = 1 << 30,
                .default_value = "4194304",
                .help = "largest request body"},
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
