#include "daemon/settings/settings.h"

#include <tclap/CmdLine.h>

#include <cstdlib>
#include <map>
#include <memory>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "common/strings.h"
#include "daemon/settings/setting_table.h"

namespace wagtailshore::settings {
namespace {

constexpr size_t kBytesPerMegabyte = 1 << 20;

constexpr char kVersion[] = "0.1.0";
constexpr std::string_view kUrlPrefix = "http://";

// A setting's text and the flag or environment variable that it came from.
struct Value {
  std::string text;
  std::string place;
};
using Values = std::map<std::string_view, Value>;

std::string HelpOf(const SettingSpec& spec) {
  std::string help(spec.help);
  if (spec.type == SettingType::kNumber) {
    common::StrAppend(&help, " (", spec.min, " to ", spec.max, " ", spec.unit,
                      ", default ", spec.default_value, ")");
  }
  common::StrAppend(&help, " [", EnvironmentName(spec), "]");
  return help;
}

std::variant<Values, common::Findings, NothingToRun> CollectValues(
    std::vector<std::string> arguments,
    const Environment& environment) {
  Values values;
  try {
    TCLAP::CmdLine command(
        "The load balancer's daemon. Each flag can also be set by an "
        "environment variable; the flag takes precedence.",
        '=', kVersion);
    command.setExceptionHandling(false);
    std::vector<std::unique_ptr<TCLAP::ValueArg<std::string>>> flags;
    for (const SettingSpec& spec : SettingTable()) {
      flags.push_back(std::make_unique<TCLAP::ValueArg<std::string>>(
          "", std::string(spec.name), HelpOf(spec), /*req=*/false, "",
          std::string(common::NameOf(kSettingTypeNames, spec.type)), command));
    }
    command.parse(arguments);
    size_t index = 0;
    for (const SettingSpec& spec : SettingTable()) {
      const auto& flag = *flags[index++];
      const std::string variable = EnvironmentName(spec);
      if (flag.isSet()) {
        values[spec.name] = {flag.getValue(), common::StrCat("--", spec.name)};
      } else if (const auto text = environment(variable)) {
        values[spec.name] = {*text, variable};
      } else {
        values[spec.name] = {std::string(spec.default_value),
                             common::StrCat("--", spec.name)};
      }
    }
  } catch (const TCLAP::ExitException&) {
    return NothingToRun{};
  } catch (const TCLAP::ArgException& error) {
    return common::Findings{{error.argId(), error.error()}};
  }
  return values;
}

bool IsAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  uint32_t port = 0;
  constexpr uint32_t kMaxPort = 65535;
  return colon != std::string_view::npos && colon > 0 &&
         absl::SimpleAtoi(common::AsAbsl(text.substr(colon + 1)), &port) &&
         port <= kMaxPort;
}

bool IsLoopback(std::string_view address) {
  return address.starts_with("127.") || address.starts_with("[::1]:");
}

std::vector<std::string> SplitList(const std::string& text) {
  return absl::StrSplit(text, ',', absl::SkipEmpty());
}

// Returns what is wrong with the text of a setting, or an empty string.
std::string ValidationError(const SettingSpec& spec, const std::string& text) {
  switch (spec.type) {
    case SettingType::kText:
      return "";
    case SettingType::kAddress:
      return IsAddress(text) ? "" : "must be IP:port";
    case SettingType::kAddressList:
      for (const std::string& address : SplitList(text)) {
        if (!IsAddress(address)) {
          return common::StrCat("\"", address, "\" is not IP:port");
        }
      }
      return "";
    case SettingType::kUrl:
      return text.starts_with(kUrlPrefix) &&
                     IsAddress(text.substr(kUrlPrefix.size()))
                 ? ""
                 : "must be http://IP:port";
    case SettingType::kNumber: {
      int64_t number = 0;
      const bool valid = absl::SimpleAtoi(text, &number) &&
                         number >= spec.min && number <= spec.max;
      return valid ? ""
                   : common::StrCat("must be a whole number from ", spec.min,
                                    " to ", spec.max, " ", spec.unit);
    }
    case SettingType::kRole:
      return common::ValueOf(kRoleNames, text).has_value()
                 ? ""
                 : "must be entry, endpoint, gateway or companion";
  }
  return "";
}

bool IsRequired(const SettingSpec& spec, std::string_view role) {
  switch (spec.required_by) {
    case RequiredBy::kNone:
      return false;
    case RequiredBy::kEntryAndEndpoint: {
      const auto known = common::ValueOf(kRoleNames, role);
      return !known.has_value() || !IsHosted(*known);
    }
    case RequiredBy::kEntry:
      return role == common::NameOf(kRoleNames, Role::kEntry);
    case RequiredBy::kEndpoint:
      return role == common::NameOf(kRoleNames, Role::kEndpoint);
  }
  return false;
}

common::Findings CheckValues(const Values& values) {
  common::Findings findings;
  const std::string& role = values.at("role").text;
  for (const SettingSpec& spec : SettingTable()) {
    const Value& value = values.at(spec.name);
    if (value.text.empty()) {
      if (IsRequired(spec, role)) {
        findings.push_back({value.place, "is missing"});
      }
      continue;
    }
    std::string error = ValidationError(spec, value.text);
    if (!error.empty()) {
      findings.push_back({value.place, std::move(error)});
    }
  }
  const bool has_backend = !values.at("engine-url").text.empty() ||
                           !values.at("service-url").text.empty();
  if (role == "endpoint" && !has_backend) {
    findings.push_back(
        {"--engine-url", "an endpoint requires this or --service-url"});
  }
  const Value& admin = values.at("admin-address");
  if (!admin.text.empty() && !IsLoopback(admin.text) &&
      values.at("admin-token").text.empty()) {
    findings.push_back({admin.place,
                        "must be loopback unless "
                        "WAGTAILSHORE_ADMIN_TOKEN is set"});
  }
  return findings;
}

// Call only for values that passed CheckValues().
int64_t Number(const Values& values, std::string_view name) {
  int64_t number = 0;
  (void)absl::SimpleAtoi(values.at(name).text, &number);
  return number;
}

common::Duration Milliseconds(const Values& values, std::string_view name) {
  return common::milliseconds(Number(values, name));
}

Settings BuildSettings(const Values& values) {
  return {
      .role = common::ValueOf(kRoleNames, values.at("role").text)
                  .value_or(Role::kEntry),
      .name = values.at("name").text,
      .failure_domain = values.at("failure-domain").text,
      .caller_address = values.at("caller-address").text,
      .traffic_address = values.at("traffic-address").text,
      .peer_address = values.at("peer-address").text,
      .admin_address = values.at("admin-address").text,
      .admin_token = values.at("admin-token").text,
      .metrics_address = values.at("metrics-address").text,
      .platform_url = values.at("platform-url").text,
      .engine_url = values.at("engine-url").text,
      .service_url = values.at("service-url").text,
      .seeds = SplitList(values.at("seeds").text),
      .exchange_period = Milliseconds(values, "exchange-period"),
      .platform_poll_period = Milliseconds(values, "platform-poll-period"),
      .platform_timeout = Milliseconds(values, "platform-timeout"),
      .drain_notice = Milliseconds(values, "drain-notice"),
      .progress_timeout = Milliseconds(values, "progress-timeout"),
      .engine_slots = static_cast<uint32_t>(Number(values, "engine-slots")),
      .limit_entries = static_cast<uint32_t>(Number(values, "limit-entries")),
      .max_connections =
          static_cast<uint32_t>(Number(values, "max-connections")),
      .max_body_bytes = static_cast<size_t>(Number(values, "max-body")),
      .memory_bytes =
          static_cast<size_t>(Number(values, "memory")) * kBytesPerMegabyte,
      .max_descriptors = static_cast<size_t>(Number(values, "max-descriptors")),
  };
}

}  // namespace

ReadResult Read(std::vector<std::string> arguments,
                const Environment& environment) {
  auto collected = CollectValues(std::move(arguments), environment);
  if (auto* findings = std::get_if<common::Findings>(&collected)) {
    return std::move(*findings);
  }
  if (std::holds_alternative<NothingToRun>(collected)) {
    return NothingToRun{};
  }
  const Values& values = std::get<Values>(collected);
  common::Findings findings = CheckValues(values);
  if (!findings.empty()) {
    return findings;
  }
  return BuildSettings(values);
}

std::optional<std::string> ProcessEnvironment(const std::string& name) {
  const char* value = std::getenv(name.c_str());
  if (value == nullptr) {
    return std::nullopt;
  }
  return value;
}

}  // namespace wagtailshore::settings
