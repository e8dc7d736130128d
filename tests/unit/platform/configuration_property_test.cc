#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "common/strings.h"
#include "platform/store.h"

// Any writing of a valid configuration, and any odd value in one.
namespace wagtailshore::platform {
namespace {

using nlohmann::json;

constexpr int kMaxItems = 3;

json NewRoute(int number) {
  json services = json::array();
  const int parts = *rc::gen::inRange(1, kMaxItems);
  for (int i = 0; i < parts; ++i) {
    services.push_back({{"service", common::StrCat("s", i)},
                        {"weight", *rc::gen::inRange(0, 100)}});
  }
  return {{"host", "h"},
          {"prefix", common::StrCat("/", number, "/")},
          {"route_kind", *rc::gen::element("safe", "unsafe", "streaming")},
          {"traffic_split", services},
          {"priority", *rc::gen::inRange(0, 9)},
          {"max_attempts", *rc::gen::inRange(1, 4)},
          {"timeout_ms", *rc::gen::inRange(1, 60'000)},
          {"public", *rc::gen::arbitrary<bool>()},
          {"stream_resume", *rc::gen::arbitrary<bool>()}};
}

json NewConfiguration() {
  json configuration = {{"version", *rc::gen::inRange(1, 1'000'000)},
                        {"routes", json::array()},
                        {"services", json::array()},
                        {"tenants", json::array()},
                        {"limits", {{"max_body_bytes", 1000}}}};
  const int routes = *rc::gen::inRange(1, kMaxItems);
  for (int i = 0; i < routes; ++i) {
    configuration["routes"].push_back(NewRoute(i));
  }
  const int services = *rc::gen::inRange(0, kMaxItems);
  for (int i = 0; i < services; ++i) {
    configuration["services"].push_back(
        {{"name", common::StrCat("s", i)},
         {"max_connections", *rc::gen::inRange(0, 500)},
         {"engine", {{"slots", *rc::gen::inRange(1, 64)}}}});
  }
  const int customers = *rc::gen::inRange(0, kMaxItems);
  for (int i = 0; i < customers; ++i) {
    json keys = json::array();
    const int count = *rc::gen::inRange(0, kMaxItems);
    for (int key = 0; key < count; ++key) {
      keys.push_back(common::StrCat("key-", i, "-", key));
    }
    configuration["tenants"].push_back({{"name", common::StrCat("c", i)},
                                        {"api_keys", keys},
                                        {"priority", i}});
  }
  return configuration;
}

// Writes some whole numbers with a fraction, and some lists of one without the
// list.
json Rewrite(const json& value) {
  if (value.is_number_integer()) {
    return *rc::gen::arbitrary<bool>() ? json(value.get<double>()) : value;
  }
  if (value.is_array()) {
    json items = json::array();
    for (const json& item : value) {
      items.push_back(Rewrite(item));
    }
    return items.size() == 1 && *rc::gen::arbitrary<bool>() ? items[0] : items;
  }
  if (value.is_object()) {
    json object = json::object();
    for (const auto& [name, field] : value.items()) {
      object[name] = Rewrite(field);
    }
    return object;
  }
  return value;
}

std::string Describe(const serving::Configuration& configuration) {
  std::string text =
      common::StrCat(configuration.version, " ", configuration.needs_keys, " ",
                     configuration.limits.max_body_bytes, "\n",
                     common::FormatFindings(configuration.findings));
  for (const serving::Route& route : configuration.routes) {
    common::StrAppend(&text, route.host, route.prefix, " ",
                      static_cast<int>(route.kind), " ",
                      common::ToMilliseconds(route.timeout), " ",
                      route.priority, " ", route.max_attempts, " ",
                      route.open_to_all, route.resumable, route.closed_by);
    for (const serving::WeightedService& service : route.services) {
      common::StrAppend(&text, " ", service.service, "=", service.weight);
    }
    text += '\n';
  }
  for (const serving::Service& service : configuration.services) {
    common::StrAppend(&text, service.name, " ", service.max_connections, " ",
                      service.engine.has_value() ? service.engine->slots : -1,
                      "\n");
  }
  for (const serving::Customer& customer : configuration.customers) {
    common::StrAppend(&text, customer.name, " ",
                      customer.priority.value_or(-1));
    for (const std::string& key : customer.keys) {
      common::StrAppend(&text, " ", key);
    }
    text += '\n';
  }
  return text;
}

// Guards against a field that is refused, or read as another value, for the way
// in which it is written.
RC_GTEST_PROP(ConfigurationProperty, EveryWritingMeansTheSame, ()) {
  const json text = NewConfiguration();
  const json rewritten = Rewrite(text);
  const auto expected = DecodeConfiguration(text.dump());
  const auto found = DecodeConfiguration(rewritten.dump());
  RC_LOG(rewritten.dump());
  RC_ASSERT(expected.ok());
  RC_ASSERT(expected->findings.empty());
  RC_ASSERT(found.ok());
  RC_ASSERT(Describe(*found) == Describe(*expected));
}

// Pointers to all values in `value`, without the root.
void AddPointers(const json& value,
                 const json::json_pointer& at,
                 std::vector<json::json_pointer>& pointers) {
  if (!at.empty()) {
    pointers.push_back(at);
  }
  if (value.is_object()) {
    for (const auto& [name, field] : value.items()) {
      AddPointers(field, at / name, pointers);
    }
  }
  if (value.is_array()) {
    for (size_t i = 0; i < value.size(); ++i) {
      AddPointers(value[i], at / i, pointers);
    }
  }
}

// The name of each valid key's customer.
std::map<std::string, std::string> HoldersIn(
    const serving::Configuration& configuration) {
  std::map<std::string, std::string> holders;
  for (const serving::Customer& customer : configuration.customers) {
    for (const std::string& key : customer.keys) {
      holders[key] = customer.name;
    }
  }
  return holders;
}

// Guards against an odd value that admits somebody whom the configuration does
// not name, or sends a request where it does not say.
RC_GTEST_PROP(ConfigurationProperty, OddValuesAdmitNobodyElse, ()) {
  const json text = NewConfiguration();
  std::vector<json::json_pointer> pointers;
  AddPointers(text, json::json_pointer(), pointers);
  const json::json_pointer pointer = *rc::gen::elementOf(pointers);
  // Without `true`, which may open a route.
  const json odd =
      *rc::gen::elementOf(std::vector<json>({nullptr,
                                             "",
                                             0,
                                             7,
                                             1.5,
                                             false,
                                             json::object(),
                                             json::array(),
                                             {{"a", 1}},
                                             {{"c0", {{"api_keys", {"a"}}}}},
                                             json::array({nullptr}),
                                             json::array({7}),
                                             json::array({json::object()}),
                                             "\xc3\xa9"}));
  json changed = text;
  changed[pointer] = odd;
  RC_LOG(changed.dump());
  const auto before = DecodeConfiguration(text.dump());
  const auto after = DecodeConfiguration(changed.dump());
  RC_ASSERT(before.ok());
  if (!after.ok()) {
    return;
  }
  RC_ASSERT(after->needs_keys);
  const auto holders = HoldersIn(*before);
  for (const auto& [key, holder] : HoldersIn(*after)) {
    const auto named = holders.find(key);
    RC_ASSERT(odd == json(key) ||
              (named != holders.end() &&
               (holder == named->second || odd == json(holder))));
    RC_ASSERT(!holder.empty());
  }
  for (const serving::Route& route : after->routes) {
    const auto same = std::find_if(before->routes.begin(), before->routes.end(),
                                   [&](const serving::Route& other) {
                                     return other.prefix == route.prefix &&
                                            other.host == route.host;
                                   });
    if (same == before->routes.end()) {
      continue;
    }
    RC_ASSERT(!route.open_to_all || same->open_to_all);
    RC_ASSERT(!route.resumable || same->resumable);
    if (!route.closed_by.empty()) {
      continue;
    }
    RC_ASSERT(route.kind == same->kind);
    for (const serving::WeightedService& service : route.services) {
      RC_ASSERT(std::any_of(same->services.begin(), same->services.end(),
                            [&](const serving::WeightedService& other) {
                              return other.service == service.service;
                            }) ||
                odd == json(service.service));
    }
  }
}

}  // namespace
}  // namespace wagtailshore::platform
